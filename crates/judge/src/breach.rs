use {derive_more::Display, unit::Time};

/// What users were promised.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// A request that isn't idempotent runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// A request is answered soon after its route's timeout at the latest.
    #[display("answered by the timeout")]
    AnsweredByTimeout,
    /// A cold worker gets no more requests than it bears.
    #[display("cold start")]
    ColdStart,
    /// A worker that drains soon gets no requests.
    #[display("drain")]
    Drain,
    /// An evacuated data centre soon gets no requests.
    #[display("evacuation")]
    Evacuation,
    /// A request is sent to no more workers than its route allows.
    #[display("attempts")]
    MaxAttempts,
    /// A daemon's memory has a bound, whatever others send it.
    #[display("memory")]
    Memory,
    /// What is reported as not run has not run and never does.
    #[display("not run")]
    NotRun,
    /// A request that was taken is answered.
    #[display("answered")]
    Answered,
    /// No more of an account's requests run than its quota allows.
    #[display("quota")]
    Quota,
    /// Workers run only what callers sent.
    #[display("only what was sent")]
    Requested,
    /// No more retries are sent than the budget allows.
    #[display("retry budget")]
    RetryBudget,
    /// A caller gets the worker's whole answer to its own request, or a failure.
    #[display("own answer")]
    OwnAnswer,
}

/// A broken promise.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{promise}: {evidence}")]
pub struct Breach {
    /// When it was broken.
    pub at: Time,
    /// The ids, times and bounds that show it, and why no disruption excuses it.
    pub evidence: String,
    /// What was promised.
    pub promise: Promise,
}
