use {
    derive_more::Display,
    site::{LoadReport, Notice},
};

/// How a request that was sent to a worker ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AttemptEnding {
    /// The worker ran it and responded with a server error.
    #[display("failed")]
    Failed,
    /// The connection broke, or the deadline passed, after the request was sent; it may have run.
    #[display("lost")]
    Lost,
    /// Another worker now has the address and refused the request; it did not run.
    #[display("misdirected")]
    Misdirected,
    /// The worker refused the request without running it.
    #[display("not-run")]
    NotRun,
    /// The worker ran it and responded without a server error.
    #[display("served")]
    Served,
    /// The response is truncated, content-encoded or violates the protocol; the request may have
    /// run.
    #[display("spoiled")]
    InvalidResponse,
    /// No byte of the request was sent; it did not run.
    #[display("unsent")]
    Unsent,
}

/// Why a worker could not be probed or connected to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The connection could not be opened, or broke.
    #[display("broken")]
    ConnectionFailed,
    /// The worker did not respond before the probe's timeout.
    #[display("late")]
    TimedOut,
    /// No connection could be had, such as when this daemon may open no more to the worker.
    #[display("no-connection")]
    NoConnection,
}

/// The end of an attempt, as the daemon reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub ending: AttemptEnding,
    /// The load that the worker reported with its response; `None` if it reported none.
    pub load: Option<LoadReport>,
    /// What the worker asks of its callers; `None` if it did not respond.
    pub notice: Option<Notice>,
}

impl AttemptReport {
    /// The end of an attempt to which the worker did not respond.
    pub const fn without_response(ending: AttemptEnding) -> Self {
        Self {
            ending,
            load: None,
            notice: None,
        }
    }
}
