use {
    crate::{LinkId, forwarding::Forward},
    pick::WorkerKey,
    poison::Fingerprint,
    site::{Account, Credential, LoadReport, Route},
    std::{net::Ipv4Addr, sync::Arc},
    unit::{Name, Span, Time},
};

/// A worker that can take the request, with a connection kept for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) cold: bool,
    /// The expected time from sending to the response.
    pub(crate) expected: Span,
    /// When the worker was found to have room.
    pub(crate) found_at: Time,
    pub(crate) link: LinkId,
    pub(crate) load: Option<LoadReport>,
    /// When a permit to send to a cold worker was taken; `None` if none was needed.
    pub(crate) cold_permit: Option<Time>,
    pub(crate) worker: WorkerKey,
}

/// A health probe in flight, or a connection being made ready without a probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) link: LinkId,
    /// When a permit to send to a cold worker was taken; `None` if none was needed.
    pub(crate) cold_permit: Option<Time>,
    /// When the probe times out.
    pub(crate) deadline: Time,
    pub(crate) worker: WorkerKey,
}

/// A request in flight at a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) sent_at: Time,
    /// The expected time from sending to the response.
    pub(crate) expected: Span,
    pub(crate) link: LinkId,
    /// The worker's load when the request was sent.
    pub(crate) load: Option<LoadReport>,
    pub(crate) worker: WorkerKey,
}

/// Whether worker selection is in progress for a request, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectionState {
    /// For the first attempt, or a retry after the earlier attempts have ended.
    Primary,
    /// For a hedge, while an attempt at a slow worker is still in flight.
    Hedge,
    /// Not in progress.
    Idle,
}

/// A caller's request in progress.
///
/// At most one probe is in flight at a time, and none while `selection` is idle.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The probe in flight.
    pub(crate) probe: Option<Probe>,
    /// How many workers responded to probes in this round of worker selection.
    pub(crate) answers: usize,
    /// The client account that it was admitted for; `None` if it has none.
    pub(crate) account: Option<Arc<Account>>,
    /// The workers probed in this round of worker selection.
    pub(crate) probed: Vec<WorkerKey>,
    /// The attempts in flight.
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) arrived_at: Time,
    /// By what its account is checked again before each send.
    pub(crate) credential: Credential,
    /// The helpers that were asked to take the request.
    pub(crate) asked: Vec<Ipv4Addr>,
    /// When the caller must have a response.
    pub(crate) deadline: Time,
    /// By what the request is known when it comes again.
    pub(crate) fingerprint: Fingerprint,
    /// The link that brought a worker's error response, which the caller gets if no later attempt
    /// succeeds.
    pub(crate) fallback: Option<LinkId>,
    /// What is in flight at a helper.
    pub(crate) forward: Option<Forward>,
    /// Whether another daemon forwarded the request, so that it isn't forwarded again.
    pub(crate) from_peer: bool,
    /// Whether it is to go to the target version of a rollout.
    pub(crate) canary: bool,
    /// Whether a hedge was started; no other is started while this is set. Reset if the hedge
    /// could not be sent and may be tried again.
    pub(crate) hedged: bool,
    /// The best worker found in this round of worker selection.
    pub(crate) candidate: Option<Candidate>,
    /// When the backoff in progress ends and worker selection starts again.
    pub(crate) backoff_until: Option<Time>,
    /// Whether an attempt that has ended may have run the request.
    pub(crate) maybe_ran: bool,
    /// To how many workers the request may be sent.
    pub(crate) max_attempts: u32,
    /// Whether a worker responded, to a probe or otherwise.
    pub(crate) reached: bool,
    pub(crate) route: Arc<Route>,
    pub(crate) selection: SelectionState,
    /// How many attempts were sent, hedges included.
    pub(crate) sends: u32,
    /// The service that the route's weighted split picked.
    pub(crate) service: Name,
    /// The workers of all attempts; none of them gets another.
    pub(crate) sent_to: Vec<WorkerKey>,
    /// Whether the request has backed off at least once.
    pub(crate) backed_off: bool,
    /// Whether the request waits for a worker and counts towards its route's limit.
    pub(crate) waiting: bool,
}

impl Call {
    pub(crate) fn new(
        fingerprint: Fingerprint,
        route: Arc<Route>,
        service: Name,
        now: Time,
        deadline: Time,
    ) -> Self {
        Self {
            account: None,
            probe: None,
            answers: 0,
            probed: Vec::new(),
            attempts: Vec::new(),
            arrived_at: now,
            credential: Credential::Absent,
            asked: Vec::new(),
            deadline,
            fallback: None,
            fingerprint,
            forward: None,
            from_peer: false,
            canary: false,
            hedged: false,
            candidate: None,
            backoff_until: None,
            maybe_ran: false,
            max_attempts: route.max_attempts,
            reached: false,
            route,
            selection: SelectionState::Primary,
            sends: 0,
            service,
            sent_to: Vec::new(),
            backed_off: false,
            waiting: false,
        }
    }

    /// Forgets which workers were probed.
    pub(crate) fn clear_round(&mut self) {
        self.answers = 0;
        self.probed.clear();
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.kind.is_idempotent()
    }

    /// The request's priority: its account's, if that has one, else its route's; 0 is the highest.
    pub(crate) fn priority(&self) -> u32 {
        let account = self.account.as_ref();
        let priority = account.and_then(|account| account.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Whether one more attempt is allowed.
    pub(crate) fn may_send(&self) -> bool {
        self.sends < self.max_attempts
    }

    /// The time left until the route's latency objective is missed.
    pub(crate) fn objective_left(&self, now: Time) -> Span {
        (self.arrived_at + self.route.objective).since(now)
    }
}
