use {
    crate::{proxy::ProxyFault, store::StoreFault, upstream::WorkerFault},
    fastrand::Rng,
    std::time::Duration,
};

/// One fault. Numbers of daemons and workers are drawn anew modulo how many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The history of the store is dropped.
    Compact,
    /// A new configuration.
    Config,
    /// A daemon is killed, and starts again when the fault ends.
    Kill(usize),
    /// Answers to writes are lost.
    LoseAnswers,
    /// A data centre is evacuated, and taken back when the fault ends.
    Evacuate(usize),
    /// A daemon stands still.
    Pause(usize),
    /// A daemon reads its settings again.
    Reload(usize),
    /// The store treats all its callers so.
    Store(StoreFault),
    /// The way between a daemon and the store is harmed.
    StoreProxy(usize, ProxyFault),
    /// A daemon is told to stop, and starts again once it has.
    Term(usize),
    /// A worker has this fault.
    Worker(usize, WorkerFault),
    /// A worker turns cold.
    WorkerCold(usize),
    /// A worker dies; another comes in its place.
    WorkerDies(usize),
    /// A worker leaves in order; another comes in its place.
    WorkerLeaves(usize),
    /// The way to a worker is harmed.
    WorkerProxy(usize, ProxyFault),
    /// A worker's machine turns slow.
    WorkerSlow(usize),
}

impl Fault {
    pub(crate) fn draw(rng: &mut Rng) -> Self {
        let at = rng.usize(..1_000);
        match rng.u32(..18) {
            0 => Self::Compact,
            1 => Self::Config,
            2 => Self::Evacuate(at),
            3 => Self::LoseAnswers,
            4 | 5 => Self::Kill(at),
            6 => Self::Pause(at),
            7 => Self::Reload(at),
            8 => Self::Store(mood(rng)),
            9 => Self::StoreProxy(at, harm(rng)),
            10 | 11 => Self::Term(at),
            12 => Self::Worker(at, worker_fault(rng)),
            13 => Self::WorkerCold(at),
            14 => Self::WorkerDies(at),
            15 => Self::WorkerLeaves(at),
            16 => Self::WorkerProxy(at, harm(rng)),
            _ => Self::WorkerSlow(at),
        }
    }

    /// Whether bounds on how fast news travels are suspended by it.
    pub(crate) const fn unsettles(self) -> bool {
        matches!(
            self,
            Self::Compact
                | Self::Kill(_)
                | Self::LoseAnswers
                | Self::Pause(_)
                | Self::Store(_)
                | Self::StoreProxy(..)
                | Self::Term(_)
        )
    }
}

fn mood(rng: &mut Rng) -> StoreFault {
    let slow = StoreFault::Slow(Duration::from_millis(rng.u64(50..500)));
    let moods = [
        StoreFault::Unavailable,
        StoreFault::Closes,
        StoreFault::Hangs,
        slow,
    ];
    moods[rng.usize(..moods.len())]
}

fn harm(rng: &mut Rng) -> ProxyFault {
    let delay = ProxyFault::Delay(Duration::from_millis(rng.u64(5..200)));
    let harms = [
        ProxyFault::DropToServer,
        ProxyFault::DropToClient,
        delay,
        ProxyFault::Reset,
        ProxyFault::BlackholeOpen,
    ];
    harms[rng.usize(..harms.len())]
}

fn worker_fault(rng: &mut Rng) -> WorkerFault {
    let faults = [
        WorkerFault::Errors,
        WorkerFault::ExtraResponse,
        WorkerFault::Hangs,
        WorkerFault::Resets,
        WorkerFault::Slow(5),
        WorkerFault::Truncates,
    ];
    faults[rng.usize(..faults.len())]
}
