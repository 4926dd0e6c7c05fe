//! A desk with workers that tests let answer as they like.

use {
    call::{
        Arrival, AttemptEnding, AttemptReport, CallAction, CallEvent, CallId, Dispatcher, LinkId,
        Policy, ProbeFailure, Refusal,
    },
    conf::Bounds,
    pick::{WorkerKey, WorkerTable},
    site::{
        ColdStart, Config, HealthReport, Idempotency, LoadReport, Route, Service, Target, Worker,
        WorkerState,
    },
    std::sync::Arc,
    unit::{Map, Name, Span, Time},
};

/// What users allow a fleet, as tests suppose it.
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
    }
}

pub(crate) fn route(name: &str, kind: Idempotency) -> Route {
    Route {
        max_attempts: 2,
        idempotency: kind,
        name: name.into(),
        objective: Span::millis(200),
        prefix: "/".into(),
        priority: 1,
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
    }
}

pub(crate) fn free() -> HealthReport {
    health(0, 0, 100)
}

pub(crate) fn health(running: u32, waiting: u32, pace: u32) -> HealthReport {
    HealthReport {
        cold_remaining: Span::ZERO,
        healthy: true,
        id: None,
        load: Some(LoadReport {
            latency_percent: pace,
            running,
            slots: 4,
            waiting,
        }),
    }
}

/// A desk, the moment, and what it wants done.
pub(crate) struct Scene {
    pub(crate) actions: Vec<CallAction>,
    pub(crate) desk: Dispatcher,
    next: u64,
    pub(crate) now: Time,
    /// The worker of each use of a connection.
    pub(crate) workers: Map<LinkId, WorkerKey>,
}

impl Scene {
    /// A desk whose service `s` has the workers `ids`.
    pub(crate) fn new(ids: &[&str]) -> Self {
        Self::with_policy(ids, Policy::new(bounds()))
    }

    pub(crate) fn with_policy(ids: &[&str], policy: Policy) -> Self {
        let now = Time::at(Span::secs(100));
        let mut table = WorkerTable::new("front-a-1".into(), "a".into());
        table.allow_cold_from(Some(now));
        for id in ids {
            table.upsert(worker(id), now);
        }
        let mut desk = Dispatcher::new(policy, table, fastrand::Rng::with_seed(1));
        let mut config = Config::default();
        for name in ["s", "t"] {
            config.services.insert(name.into(), Arc::new(service(name)));
        }
        desk.configure(Arc::new(config));
        Self {
            actions: Vec::new(),
            desk,
            next: 0,
            now,
            workers: Map::default(),
        }
    }

    pub(crate) fn begin(&mut self, route: &Arc<Route>) -> CallId {
        let call = CallId(self.next);
        self.next += 1;
        self.step(CallEvent::Arrived(Arrival {
            call,
            timeout: Some(Span::secs(1)),
            route: Arc::clone(route),
        }));
        call
    }

    pub(crate) fn step(&mut self, event: CallEvent) {
        let actions = self.desk.handle(self.now, event);
        for action in &actions {
            if let CallAction::Probe { link, worker } = action {
                self.workers.insert(*link, *worker);
            }
        }
        self.actions.extend(actions);
        self.desk.take_decisions();
    }

    /// Lets time pass, with every timer on its way.
    pub(crate) fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(at) = self.desk.next_tick().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step(CallEvent::Tick);
        }
        self.now = end;
    }

    /// The next action, which must be a question to a worker.
    pub(crate) fn ask(&mut self) -> LinkId {
        match self.take() {
            CallAction::Probe { link, .. } => link,
            other => panic!("no question but {other:?}"),
        }
    }

    /// The next action, which must send a request.
    pub(crate) fn sent(&mut self) -> LinkId {
        match self.take() {
            CallAction::Send(_, link, _) => link,
            other => panic!("not sent but {other:?}"),
        }
    }

    /// The next action, which must refuse a request.
    pub(crate) fn refused(&mut self) -> Refusal {
        match self.take() {
            CallAction::Refuse(_, refusal) => refusal,
            other => panic!("not refused but {other:?}"),
        }
    }

    pub(crate) fn take(&mut self) -> CallAction {
        assert!(!self.actions.is_empty(), "nothing is to be done");
        self.actions.remove(0)
    }

    pub(crate) fn told(&mut self, link: LinkId, health: HealthReport) {
        self.step(CallEvent::ProbeEnded(link, Ok(health)));
    }

    pub(crate) fn unreachable(&mut self, link: LinkId) {
        self.step(CallEvent::ProbeEnded(
            link,
            Err(ProbeFailure::ConnectionFailed),
        ));
    }

    pub(crate) fn answered(&mut self, link: LinkId, answer: AttemptEnding) {
        self.step(CallEvent::AttemptEnded(
            link,
            AttemptReport {
                ending: answer,
                load: None,
            },
        ));
    }

    /// Sends a request to the first worker that is asked.
    pub(crate) fn at_work(&mut self, route: &Arc<Route>) -> LinkId {
        self.begin(route);
        let link = self.ask();
        self.told(link, free());
        assert_eq!(self.sent(), link);
        link
    }

    pub(crate) fn name(&self, link: LinkId) -> Name {
        let belief = self.desk.table.get(self.workers[&link]);
        belief.expect("a worker").worker.id.clone()
    }

    /// Answers questions with `health` while time passes; tells what else is wanted.
    pub(crate) fn pass_telling(&mut self, span: Span, health: &HealthReport) -> Vec<CallAction> {
        let end = self.now + span;
        let mut others = Vec::new();
        loop {
            while !self.actions.is_empty() {
                match self.take() {
                    CallAction::Probe { link, .. } => self.told(link, health.clone()),
                    CallAction::Release(_) => {}
                    other => others.push(other),
                }
            }
            let Some(at) = self.desk.next_tick().filter(|at| *at <= end) else {
                self.now = end;
                return others;
            };
            self.now = self.now.max(at);
            self.step(CallEvent::Tick);
        }
    }
}
