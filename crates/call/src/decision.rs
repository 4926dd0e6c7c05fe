use {
    crate::{AttemptEnding, CallError, CallId, ProbeFailure},
    limit::RetryUsage,
    pick::WorkerKey,
    site::LoadReport,
    std::net::Ipv4Addr,
    unit::Span,
};

/// A decision about a request, for the log and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRecord {
    /// The request.
    pub call: CallId,
    /// The time since the request arrived.
    pub elapsed: Span,
    /// What was decided and on which inputs.
    pub decision: Decision,
}

/// A decision about a request, with the inputs that it was based on.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// An attempt ended; the request ends with it or is retried.
    AttemptEnded {
        /// How the attempt ended.
        ending: AttemptEnding,
        /// The worker.
        worker: WorkerKey,
    },
    /// A worker was probed, or a connection to it was asked for, and it was not selected.
    Skipped {
        /// Why the probe or connection failed; `None` if the worker responded.
        failure: Option<ProbeFailure>,
        /// The load that the worker reported, if any.
        load: Option<LoadReport>,
        /// The worker.
        worker: WorkerKey,
    },
    /// A helper doesn't take the request, or couldn't be connected to.
    Declined(Ipv4Addr),
    /// The request is forwarded to a helper.
    Forwarded(Ipv4Addr),
    /// The caller gets an error response from the daemon itself.
    Failed(CallError),
    /// The request is sent to a worker.
    Sent {
        /// How many times the request was sent before.
        prior_sends: u32,
        /// Whether the worker is in its cold start.
        cold: bool,
        /// The expected time until the response.
        expected: Span,
        /// The load that the worker last reported, if any.
        load: Option<LoadReport>,
        /// The worker.
        worker: WorkerKey,
    },
    /// The request is to be sent once more, which takes a permit of the service's retry budget. Not
    /// recorded for a hedge that gets none, since that is tried again.
    RetryPermit {
        /// Whether there was one.
        granted: bool,
        /// Whether an earlier attempt is still in flight.
        hedge: bool,
        /// What this daemon has used of its share, this permit included.
        usage: RetryUsage,
    },
    /// No suitable worker was found, and the last requests of the route waited in vain, so this one
    /// is rejected without a wait. [`Self::Failed`] follows.
    Shed {
        /// How many requests of the route may wait now; below one, this part of them.
        limit: f64,
        /// How many wait.
        waiting: u32,
    },
    /// No suitable worker was found; the request waits for the span and probes again.
    Backoff(Span),
}
