use {derive_more::Display, site::LoadReport};

/// How a request that was sent to a worker ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AttemptEnding {
    /// The worker ran it and answered with an error of its own.
    #[display("failed")]
    Failed,
    /// The connection broke after the request was sent; it may have run.
    #[display("lost")]
    Lost,
    /// Another worker has the address; the request did not run.
    #[display("misdirected")]
    Misdirected,
    /// The worker refused it without running it.
    #[display("not-run")]
    NotRun,
    /// The worker ran it and answered.
    #[display("served")]
    Served,
    /// The answer is cut short, encoded or not an answer in the protocol; the request may have run.
    #[display("spoiled")]
    InvalidResponse,
    /// No byte of it left this process.
    #[display("unsent")]
    Unsent,
}

/// Why a worker did not say whether it has room.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The connection could not be made, or broke.
    #[display("broken")]
    ConnectionFailed,
    /// There was no answer in time.
    #[display("late")]
    TimedOut,
    /// This daemon may open no more connections to the worker.
    #[display("no-connection")]
    NoConnection,
}

/// What came with an answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// How it ended.
    pub ending: AttemptEnding,
    /// The worker's load, where the answer bore it.
    pub load: Option<LoadReport>,
}
