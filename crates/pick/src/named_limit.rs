use {
    derive_more::Display,
    unit::{Rate, Span, Time},
};

/// How this daemon learned what a worker asks of its callers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoticeSource {
    /// From another daemon.
    #[display("peer")]
    Peer,
    /// From the response to a health probe.
    #[display("probe")]
    Probe,
    /// From the response to a caller's request.
    #[display("response")]
    Response,
}

/// What a daemon was last told of a worker's limit, to pass on to other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitNews {
    /// The time since the worker said so.
    pub age: Span,
    /// The limit, or `None` if the worker names none any more.
    pub rate: Option<Rate>,
    /// The hash of the worker's process run; see [`Self::run_hash`].
    pub run: u32,
}

impl LimitNews {
    /// The hash of a worker's id and start time, the same in every process.
    pub fn run_hash(id: &str, started_ms: u64) -> u32 {
        unit::rendezvous_weight(id, &started_ms.to_string()) as u32
    }
}

/// The limit on requests that a worker names in its responses, as this daemon was last told.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NamedLimit {
    /// Whether responses to health probes name the limit, too.
    in_probes: bool,
    rate: Option<Rate>,
    /// When the worker last named the limit, or ended it; `None` if it has never named one.
    said_at: Option<Time>,
}

impl NamedLimit {
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// When the worker last named the limit, or ended it.
    pub(crate) fn said_at(&self) -> Option<Time> {
        self.said_at
    }

    /// Records what a response says, and returns whether it changes the limit. A response to a
    /// probe without a limit ends the limit only if such responses have named it before.
    pub(crate) fn record(&mut self, now: Time, source: NoticeSource, named: Option<Rate>) -> bool {
        let tells = named.is_some() || source == NoticeSource::Response || self.in_probes;
        if !tells {
            return false;
        }
        self.in_probes = match source {
            NoticeSource::Probe => named.is_some(),
            NoticeSource::Peer | NoticeSource::Response => self.in_probes && named.is_some(),
        };
        self.set(now, named)
    }

    /// Adopts what another daemon was told at the time `said_at`, if that is newer, and returns
    /// whether it changes the limit.
    pub(crate) fn adopt(&mut self, said_at: Time, named: Option<Rate>) -> bool {
        let newer = self.said_at.is_none_or(|known| said_at > known);
        newer && self.set(said_at, named)
    }

    fn set(&mut self, said_at: Time, named: Option<Rate>) -> bool {
        let changed = self.rate != named;
        if changed || named.is_some() {
            self.said_at = Some(said_at);
        }
        self.rate = named;
        changed
    }
}
