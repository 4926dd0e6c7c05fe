//! A dispatcher under virtual time, with workers whose responses the tests choose.

use {
    call::{
        Arrival, AttemptEnding, AttemptReport, CallAction, CallError, CallEvent, CallId,
        Dispatcher, LinkId, Policy, ProbeFailure,
    },
    conf::Bounds,
    pick::{WorkerKey, WorkerTable},
    poison::Fingerprint,
    site::{
        ColdStart, Config, Credential, HealthReport, LoadReport, Notice, Route, RouteKind, Service,
        Target, Worker, WorkerState,
    },
    std::sync::Arc,
    unit::{Map, Name, Span, Time},
};

/// The fleet-wide limits in the tests.
pub(crate) fn bounds() -> Bounds {
    Bounds {
        cold_factor: 1.5,
        cold_slack: 5.0,
        drain: Span::secs(2),
        stop_grace: Span::secs(6),
        max_ttl: Span::secs(5),
        probe_rate: 10_000.0,
        retry_extra: 56.0,
        retry_ratio: 0.2,
        retry_window: Span::secs(10),
        quotas: None,
        rollouts: None,
    }
}

pub(crate) fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        max_attempts: 2,
        kind,
        name: name.into(),
        objective: Span::millis(200),
        prefix: "/".into(),
        priority: 1,
        problem: None,
        public: false,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        timeout: Span::millis(800),
    }
}

pub(crate) fn service(name: &str) -> Service {
    Service {
        cold_start: ColdStart {
            rate: 14.0,
            span: Span::secs(3),
        },
        max_conns: 220,
        health_path: "/healthz".into(),
        name: name.into(),
    }
}

pub(crate) fn worker(id: &str) -> Worker {
    Worker {
        address: "10.0.0.1:80".parse().expect("an address"),
        heartbeats: 1,
        started_ms: 1,
        centre: "a".into(),
        cold_remaining: Span::ZERO,
        id: id.into(),
        service: "s".into(),
        slots: 4,
        state: WorkerState::Ready,
        version: Name::default(),
    }
}

/// The health of a worker at normal speed that has no requests.
pub(crate) fn idle_health() -> HealthReport {
    health(0, 0, 100)
}

pub(crate) fn health(running: u32, waiting: u32, latency_percent: u32) -> HealthReport {
    HealthReport {
        cold_remaining: Some(Span::ZERO),
        healthy: true,
        id: None,
        load: Some(LoadReport {
            latency_percent,
            running,
            slots: 4,
            waiting,
        }),
        notice: Notice::default(),
    }
}

/// A dispatcher, the current time, and the actions that the test has not yet taken.
pub(crate) struct Harness {
    pub(crate) actions: Vec<CallAction>,
    /// The checks of workers that the test has not yet taken; they are not among the actions.
    pub(crate) checks: Vec<LinkId>,
    pub(crate) dispatcher: Dispatcher,
    next_call: u64,
    pub(crate) now: Time,
    /// The worker of each probe that was started.
    pub(crate) workers: Map<LinkId, WorkerKey>,
}

impl Harness {
    /// Creates a dispatcher whose service `s` has the workers `ids`.
    pub(crate) fn new(ids: &[&str]) -> Self {
        Self::with_policy(ids, Policy::new(bounds()))
    }

    pub(crate) fn with_policy(ids: &[&str], policy: Policy) -> Self {
        Self::with_seed(ids, policy, 1)
    }

    /// Creates a dispatcher whose random choices come from a seed.
    pub(crate) fn with_seed(ids: &[&str], policy: Policy, seed: u64) -> Self {
        let now = Time::at(Span::secs(100));
        // The process has run for longer than any window.
        let started = Time::ZERO;
        let mut table = WorkerTable::new("front-a-1".into(), "a".into(), started);
        table.allow_shares_from(Some(now));
        for id in ids {
            table.upsert(worker(id), now);
        }
        let mut dispatcher = Dispatcher::new(policy, table, fastrand::Rng::with_seed(seed));
        let mut config = Config::default();
        for name in ["s", "t"] {
            config.services.insert(name.into(), Arc::new(service(name)));
        }
        dispatcher.configure(Arc::new(config));
        Self {
            actions: Vec::new(),
            checks: Vec::new(),
            dispatcher,
            next_call: 0,
            now,
            workers: Map::default(),
        }
    }

    /// Lets a request of a caller with a timeout of 1 s arrive.
    pub(crate) fn arrive(&mut self, route: &Arc<Route>) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.handle(CallEvent::Arrived(Arrival {
            account: None,
            call,
            credential: Credential::Absent,
            fingerprint: Fingerprint(call.0),
            forwarded: None,
            timeout: Some(Span::secs(1)),
            route: Arc::clone(route),
            waited: Span::ZERO,
        }));
        call
    }

    /// Hands an event to the dispatcher and keeps its actions.
    pub(crate) fn handle(&mut self, event: CallEvent) {
        let actions = self.dispatcher.handle(self.now, event);
        for action in &actions {
            if let CallAction::Probe { link, worker } = action {
                self.workers.insert(*link, *worker);
            }
        }
        for action in actions {
            match action {
                CallAction::Check { link, .. } => self.checks.push(link),
                other => self.actions.push(other),
            }
        }
        self.dispatcher.take_decisions();
    }

    /// Advances the time, running every timer that becomes due.
    pub(crate) fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(at) = self.dispatcher.next_tick().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.handle(CallEvent::Tick);
        }
        self.now = end;
    }

    /// Takes the next action, which must be a probe.
    pub(crate) fn next_probe(&mut self) -> LinkId {
        match self.next_action() {
            CallAction::Probe { link, .. } => link,
            other => panic!("expected a probe, not {other:?}"),
        }
    }

    /// Takes the next action, which must send a request.
    pub(crate) fn next_send(&mut self) -> LinkId {
        match self.next_action() {
            CallAction::Send(_, link, _) => link,
            other => panic!("expected a send, not {other:?}"),
        }
    }

    /// Takes the next action, which must give a caller an error response.
    pub(crate) fn next_error(&mut self) -> CallError {
        match self.next_action() {
            CallAction::Fail(_, error) => error,
            other => panic!("expected an error response, not {other:?}"),
        }
    }

    pub(crate) fn next_action(&mut self) -> CallAction {
        assert!(!self.actions.is_empty(), "no action is left");
        self.actions.remove(0)
    }

    pub(crate) fn answer_probe(&mut self, link: LinkId, health: HealthReport) {
        self.handle(CallEvent::ProbeEnded(link, Ok(health)));
    }

    pub(crate) fn fail_probe(&mut self, link: LinkId) {
        self.handle(CallEvent::ProbeEnded(
            link,
            Err(ProbeFailure::ConnectionFailed),
        ));
    }

    pub(crate) fn end_attempt(&mut self, link: LinkId, ending: AttemptEnding) {
        self.handle(CallEvent::AttemptEnded(
            link,
            AttemptReport::without_response(ending),
        ));
    }

    /// Starts a request and sends it to the first worker that is probed.
    pub(crate) fn start_attempt(&mut self, route: &Arc<Route>) -> LinkId {
        self.arrive(route);
        let link = self.next_probe();
        self.answer_probe(link, idle_health());
        assert_eq!(self.next_send(), link);
        link
    }

    /// The id of the worker that was probed on a link.
    pub(crate) fn worker_id(&self, link: LinkId) -> Name {
        let record = self.dispatcher.table.get(self.workers[&link]);
        record.expect("a worker").worker.id.clone()
    }

    /// Advances the time, answering every probe with `health`. Returns the other actions except
    /// releases.
    pub(crate) fn advance_answering(
        &mut self,
        span: Span,
        health: &HealthReport,
    ) -> Vec<CallAction> {
        let end = self.now + span;
        let mut others = Vec::new();
        loop {
            while !self.actions.is_empty() {
                match self.next_action() {
                    CallAction::Probe { link, .. } => self.answer_probe(link, health.clone()),
                    CallAction::Release(_) => {}
                    other => others.push(other),
                }
            }
            let Some(at) = self.dispatcher.next_tick().filter(|at| *at <= end) else {
                self.now = end;
                return others;
            };
            self.now = self.now.max(at);
            self.handle(CallEvent::Tick);
        }
    }
}
