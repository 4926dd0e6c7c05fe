use {
    crate::{
        proxy::{Cut, ProxyFault},
        store::StoreFault,
        worker_fault::WorkerFault,
    },
    fastrand::Rng,
    std::time::Duration,
};

/// The last characters of odd names of entries.
const ODD_ENDS: [char; 11] = ['&', '+', '#', '%', '?', '/', ' ', '"', '\\', '\0', '\n'];

/// A build of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Build {
    /// The one that ran before an upgrade.
    Production,
    /// The one under test.
    Tested,
}

/// A fault of a soak. An index of a daemon, worker or data centre is taken modulo their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Compacts the store's history.
    Compact,
    /// Publishes a new version of the configuration.
    Config,
    /// Kills a daemon with SIGKILL, and starts it again when the fault ends.
    Kill(usize),
    /// Makes the store execute the next two writes without responding to them.
    DropResponses,
    /// Cuts a daemon off from all workers.
    CutOff(usize, Cut),
    /// Evacuates a data centre until the fault ends.
    Evacuate(usize),
    /// Suspends a daemon with SIGSTOP until the fault ends.
    Pause(usize),
    /// Leaves a page of another writer's entries among those of the workers, whose names begin with
    /// this character, until the fault ends.
    OddEntries(char),
    /// Makes a daemon reload its settings with SIGHUP.
    Reload(usize),
    /// Stops a daemon with SIGTERM, and starts one of a build in its place when the fault ends.
    Replace(usize, Build),
    /// Copies the store, and has it come back from the copy when the fault ends.
    Restore,
    /// Silences, for good, all connections to the store on which a response is awaited.
    SilenceWaiting,
    /// Sets a fault of the store.
    Store(StoreFault),
    /// Sets a fault of the proxy between a daemon and the store.
    StoreProxy(usize, ProxyFault),
    /// Stops a daemon with SIGTERM, and starts it again when the fault ends.
    Term(usize),
    /// Sets a fault of a worker.
    Worker(usize, WorkerFault),
    /// Makes a worker cold.
    WorkerCold(usize),
    /// Has a worker name a limit, in requests per second, in its responses.
    WorkerLimits(usize, u32),
    /// Has a worker say that it leaves and starts another in its place; its entry stays as it is.
    WorkerSaysLeaving(usize),
    /// Has a worker turn all requests away and ask to back off until the fault ends.
    WorkerTurnsAway(usize),
    /// Makes a worker send large responses without their last byte.
    WorkerCutsDownloads(usize),
    /// Kills a worker and starts another in its place.
    WorkerDies(usize),
    /// Drains a worker and starts another in its place.
    WorkerDrains(usize),
    /// Sets a fault of the proxy in front of a worker.
    WorkerProxy(usize, ProxyFault),
    /// Operators and workers write again what the store lost, when the fault ends.
    WriteAgain,
    /// Makes a worker's machine five times as slow as usual, which its load reports show.
    WorkerSlow(usize),
}

impl Fault {
    /// Draws a random fault; the order of the draws is fixed, so that seeds keep their faults.
    pub(crate) fn draw(rng: &mut Rng) -> Self {
        let index = rng.usize(..1_000);
        match rng.u32(..18) {
            0 => Self::Compact,
            1 => Self::Config,
            2 => Self::Evacuate(index),
            3 => Self::DropResponses,
            4 | 5 => Self::Kill(index),
            6 => Self::Pause(index),
            7 => Self::Reload(index),
            8 => Self::Store(store_fault(rng)),
            9 => Self::StoreProxy(index, proxy_fault(rng)),
            10 | 11 => Self::Term(index),
            12 => Self::Worker(index, worker_fault(rng)),
            13 => Self::WorkerCold(index),
            14 => Self::WorkerDies(index),
            15 => Self::WorkerDrains(index),
            16 => Self::WorkerProxy(index, proxy_fault(rng)),
            _ => Self::WorkerSlow(index),
        }
    }

    /// Draws a random cut of a daemon.
    pub(crate) fn draw_cut(rng: &mut Rng) -> Self {
        let index = rng.usize(..1_000);
        let cuts = [Cut::Hang, Cut::RefuseNew, Cut::Reset];
        Self::CutOff(index, cuts[rng.usize(..cuts.len())])
    }

    /// Draws a random notice of a worker.
    pub(crate) fn draw_notice(rng: &mut Rng) -> Self {
        let index = rng.usize(..1_000);
        match rng.u32(..3) {
            0 => Self::WorkerLimits(index, rng.u32(1..8)),
            1 => Self::WorkerSaysLeaving(index),
            _ => Self::WorkerTurnsAway(index),
        }
    }

    /// Draws a random fault of what workers, other writers and the links to the store let through.
    pub(crate) fn draw_spoil(rng: &mut Rng) -> Self {
        let index = rng.usize(..1_000);
        let worker = [
            WorkerFault::FloodsErrors,
            WorkerFault::FloodsHead,
            WorkerFault::FloodsOther,
            WorkerFault::FloodsRefusal,
            WorkerFault::FloodsUnsigned,
            WorkerFault::SpoilsBits,
            WorkerFault::SpoilsBits,
            WorkerFault::SpoilsName(rng.u8(..0x21)),
            WorkerFault::SpoilsStatus,
        ];
        match rng.u32(..4) {
            0 => Self::OddEntries(ODD_ENDS[rng.usize(..ODD_ENDS.len())]),
            1 => Self::SilenceWaiting,
            _ => Self::Worker(index, worker[rng.usize(..worker.len())]),
        }
    }

    /// Returns whether the fault may delay the propagation of the store's changes to daemons, so
    /// that the bounds on the propagation time are suspended.
    pub(crate) const fn delays_propagation(self) -> bool {
        matches!(
            self,
            Self::Compact
                | Self::Kill(_)
                | Self::DropResponses
                | Self::Pause(_)
                | Self::Replace(..)
                | Self::Restore
                | Self::SilenceWaiting
                | Self::Store(_)
                | Self::StoreProxy(..)
                | Self::Term(_)
                | Self::WriteAgain
        )
    }
}

fn store_fault(rng: &mut Rng) -> StoreFault {
    let slow = StoreFault::Slow(Duration::from_millis(rng.u64(50..500)));
    let faults = [
        StoreFault::Unavailable,
        StoreFault::Closes,
        StoreFault::Hangs,
        slow,
    ];
    faults[rng.usize(..faults.len())]
}

fn proxy_fault(rng: &mut Rng) -> ProxyFault {
    let delay = ProxyFault::Delay(Duration::from_millis(rng.u64(5..200)));
    let faults = [
        ProxyFault::DropToServer,
        ProxyFault::DropToClient,
        delay,
        ProxyFault::Reset,
        ProxyFault::BlackholeOpen,
    ];
    faults[rng.usize(..faults.len())]
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
