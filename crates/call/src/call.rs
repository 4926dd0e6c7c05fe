use {
    crate::LinkId,
    pick::WorkerKey,
    site::{Idempotency, LoadReport, Route},
    std::sync::Arc,
    unit::{Name, Span, Time},
};

/// A worker that was asked for room and whose connection is kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    pub(crate) cold: bool,
    pub(crate) expected: Span,
    pub(crate) link: LinkId,
    pub(crate) load: Option<LoadReport>,
    /// When it got a permit for a cold worker, where it has one.
    pub(crate) permit: Option<Time>,
    pub(crate) worker: WorkerKey,
}

/// A worker that is being asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask {
    pub(crate) link: LinkId,
    /// When it got a permit for a cold worker, where it has one.
    pub(crate) permit: Option<Time>,
    pub(crate) until: Time,
    pub(crate) worker: WorkerKey,
}

/// A request at a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) at: Time,
    pub(crate) expected: Span,
    pub(crate) link: LinkId,
    pub(crate) load: Option<LoadReport>,
    pub(crate) worker: WorkerKey,
}

/// Why the request looks for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Search {
    /// It hasn't been sent, or what was sent has ended.
    First,
    /// It is at a worker that takes long.
    Hedge,
    /// It isn't looking.
    Idle,
}

/// A caller's request under way.
///
/// At most one worker is being asked at a time, and while `search` is idle none is.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The worker that is being asked.
    pub(crate) ask: Option<Ask>,
    /// Workers asked in this round.
    pub(crate) asked: Vec<WorkerKey>,
    /// Where it is at work.
    pub(crate) attempts: Vec<Attempt>,
    /// When it arrived.
    pub(crate) began: Time,
    /// When the caller must have an answer.
    pub(crate) deadline: Time,
    /// A worker's error that is given to the caller where nothing better comes.
    pub(crate) fallback: Option<LinkId>,
    /// Whether it was sent again for slowness, or may not be.
    pub(crate) hedged: bool,
    /// The best worker asked in this round.
    pub(crate) offer: Option<Offer>,
    /// When it asks again, where no worker had room.
    pub(crate) pause: Option<Time>,
    /// Whether some worker may have run it.
    pub(crate) ran: bool,
    /// Its route.
    pub(crate) route: Arc<Route>,
    /// Why it looks for a worker.
    pub(crate) search: Search,
    /// How many times it was sent.
    pub(crate) sent: u32,
    /// Its service.
    pub(crate) service: Name,
    /// Workers to which it was sent.
    pub(crate) tried: Vec<WorkerKey>,
    /// Whether it has waited for a better worker.
    pub(crate) waited: bool,
}

impl Call {
    pub(crate) fn new(route: Arc<Route>, service: Name, now: Time, deadline: Time) -> Self {
        Self {
            ask: None,
            asked: Vec::new(),
            attempts: Vec::new(),
            began: now,
            deadline,
            fallback: None,
            hedged: false,
            offer: None,
            pause: None,
            ran: false,
            route,
            search: Search::First,
            sent: 0,
            service,
            tried: Vec::new(),
            waited: false,
        }
    }

    pub(crate) fn idempotent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
    }

    /// Whether it may be sent to one more worker.
    pub(crate) fn may_send(&self) -> bool {
        self.sent < self.route.max_attempts
    }

    /// What is left until the answer is worth less to the caller.
    pub(crate) fn left(&self, now: Time) -> Span {
        (self.began + self.route.objective).since(now)
    }
}
