use {
    serde::{Deserialize, Serialize},
    unit::{Name, Span, Time},
};

/// Something that happened, as one of the callers, workers or operators saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened, on the clock of the record.
    pub at: Time,
    /// What happened.
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A caller got an answer, or its connection ended.
    Answered {
        /// The request's id.
        request: Name,
        /// What it got.
        outcome: Outcome,
    },
    /// A request reached a worker.
    Arrived {
        /// The request's id.
        request: Name,
        /// The worker's id.
        worker: Name,
        /// Whether the worker was in its cold start.
        cold: bool,
    },
    /// A worker began to run a request.
    Began {
        /// The request's id.
        request: Name,
        /// The worker's id.
        worker: Name,
    },
    /// A disruption began.
    Disrupted {
        /// What is disrupted.
        subject: Subject,
        /// When the disruption ends.
        until: Time,
    },
    /// The store acknowledged that a worker drains or has left.
    Drained {
        /// The worker's id.
        worker: Name,
    },
    /// The store acknowledged the evacuation of a data centre.
    Evacuated {
        /// The data centre.
        centre: Name,
    },
    /// A worker started.
    Joined {
        /// The worker's id.
        worker: Name,
        /// Its data centre.
        centre: Name,
        /// Its service.
        service: Name,
    },
    /// The most memory that a daemon's process has taken so far.
    PeakMemory {
        /// The daemon.
        daemon: Name,
        /// The memory in bytes.
        bytes: u64,
    },
    /// The store acknowledged the end of an evacuation.
    Returned {
        /// The data centre.
        centre: Name,
    },
    /// A caller sent a request.
    Sent {
        /// The request's id.
        request: Name,
        /// The client account that it belongs to, if any.
        account: Option<Name>,
        /// The daemon that it was sent to.
        daemon: Name,
        /// Whether it may run more than once.
        idempotent: bool,
        /// To how many workers it may be sent.
        max_attempts: u32,
        /// When its connection was opened.
        opened: Time,
        /// The service that its route leads to.
        service: Name,
        /// How long its route lets it wait.
        timeout: Span,
    },
}

/// What a caller got for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Its connection ended without a whole answer.
    Closed,
    /// A failure that promises nothing.
    Failed,
    /// The promise that it has not run and never will.
    NotRun,
    /// The worker's whole answer.
    Served,
    /// Something else: an answer to another request, or not the worker's.
    Wrong,
}

/// What a disruption concerns.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A daemon's process, machine or links.
    Daemon(Name),
    /// The store, or the links by which changes spread.
    Spreading,
    /// A worker or its links.
    Worker(Name),
}
