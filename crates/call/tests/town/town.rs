//! Daemons, workers and callers in virtual time, in steps of a millisecond. A message takes one step.

use {
    crate::{
        daemon::{Caller, Daemon, bounds, route},
        machine::{Job, Machine},
        report::Report,
        shape::{Flow, Shape},
    },
    call::{
        Arrival, AttemptEnding, AttemptReport, CallAction, CallEvent, CallId, LinkId, Policy,
        Refusal,
    },
    fastrand::Rng,
    site::{Idempotency, Route},
    std::{collections::BTreeMap, sync::Arc},
    unit::{Map, Span, Time},
};

const STEP: Span = Span::millis(1);
/// How long a machine keeps its pace.
const PACE_STEPS: u64 = 150;
/// Time for the estimates to settle before anything counts.
const WARM_UP: Span = Span::secs(2);

#[derive(Debug)]
enum Message {
    Arrive(usize, Job),
    Back(Caller),
    ToDesk(usize, CallEvent),
}

/// A town that runs.
pub(crate) struct Town {
    daemons: Vec<Daemon>,
    machines: Vec<Machine>,
    messages: BTreeMap<Time, Vec<Message>>,
    next: u64,
    now: Time,
    /// Requests sent to a worker beyond the first time.
    repeats: usize,
    /// Requests of callers.
    requests: usize,
    reports: Vec<Report>,
    rng: Rng,
    routes: Vec<Arc<Route>>,
    sent: Map<(usize, CallId), u32>,
    shape: Shape,
}

impl Town {
    pub(crate) fn new(shape: &Shape, policy: Policy) -> Self {
        let now = Time::at(Span::secs(100));
        let daemons = (0..shape.daemons).map(|at| Daemon::new(at, shape, policy, now));
        Self {
            daemons: daemons.collect(),
            machines: (0..shape.workers)
                .map(|_| Machine::new(shape.slots))
                .collect(),
            messages: BTreeMap::new(),
            next: 0,
            now,
            repeats: 0,
            requests: 0,
            reports: vec![Report::default(); shape.flows.len()],
            rng: Rng::with_seed(shape.seed),
            routes: shape
                .flows
                .iter()
                .map(|flow| Arc::new(route(flow)))
                .collect(),
            sent: Map::default(),
            shape: shape.clone(),
        }
    }

    /// Plays a load for a while and tells what callers got, in the order of the shape's flows. Checks
    /// that the fleet stays within what users allow.
    pub(crate) fn play(shape: &Shape, policy: Policy, span: Span) -> Vec<Report> {
        let mut town = Self::new(shape, policy);
        town.run(WARM_UP);
        town.reports = vec![Report::default(); shape.flows.len()];
        town.run(span);
        town.check(WARM_UP + span);
        town.reports
    }

    fn check(&self, span: Span) {
        let bounds = bounds();
        // A daemon may save health requests of ten seconds, one at its start.
        let most = bounds.probe_rate * span.as_secs() + self.shape.daemons as f64;
        for machine in &self.machines {
            assert!(machine.asked as f64 <= most, "{} asked", machine.asked);
        }
        let windows = (span.as_secs() / bounds.retry_window.as_secs()).ceil();
        let most = bounds.retry_ratio * self.requests as f64 + bounds.retry_extra * windows;
        assert!(self.repeats as f64 <= most, "{} repeats", self.repeats);
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        let mut step = 0;
        while self.now < end {
            if step % PACE_STEPS == 0 {
                for machine in &mut self.machines {
                    machine.set_slow(self.rng.f64() < self.shape.slow);
                }
            }
            step += 1;
            self.now = self.now + STEP;
            self.arrivals();
            self.work();
            self.deliver();
            for at in 0..self.daemons.len() {
                self.step(at, CallEvent::Tick);
            }
        }
    }

    fn arrivals(&mut self) {
        for flow in 0..self.shape.flows.len() {
            let Flow { rate, retries, .. } = self.shape.flows[flow];
            let mut expected = rate * STEP.as_secs();
            while self.rng.f64() < expected {
                self.reports[flow].asked += 1;
                let first = self.now;
                self.send(Caller {
                    first,
                    flow,
                    retries,
                });
                expected -= 1.0;
            }
        }
    }

    /// A caller sends its request to some daemon.
    fn send(&mut self, caller: Caller) {
        let at = self.rng.usize(..self.daemons.len());
        let call = CallId(self.next);
        self.next += 1;
        self.requests += 1;
        let flow = &self.shape.flows[caller.flow];
        let deadline = Some((caller.first + flow.limit).since(self.now));
        let route = Arc::clone(&self.routes[caller.flow]);
        self.daemons[at].callers.insert(call, caller);
        let begin = Arrival {
            call,
            timeout: deadline,
            route,
        };
        self.step(at, CallEvent::Arrived(begin));
    }

    fn work(&mut self) {
        for machine in &mut self.machines {
            for job in machine.work() {
                let told = AttemptReport {
                    ending: AttemptEnding::Served,
                    load: Some(machine.load()),
                };
                let message = Message::ToDesk(job.desk, CallEvent::AttemptEnded(job.link, told));
                self.messages
                    .entry(self.now + STEP)
                    .or_default()
                    .push(message);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self
            .messages
            .first_entry()
            .filter(|entry| *entry.key() <= self.now)
        {
            for message in entry.remove() {
                match message {
                    Message::Arrive(worker, job) => self.arrive(worker, job),
                    Message::Back(caller) => self.send(caller),
                    Message::ToDesk(at, event) => self.step(at, event),
                }
            }
        }
    }

    fn arrive(&mut self, worker: usize, job: Job) {
        let shed = self.rng.f64() < self.shape.shed;
        let machine = &mut self.machines[worker];
        if shed || !machine.arrive(job) {
            let told = AttemptReport {
                ending: AttemptEnding::NotRun,
                load: Some(machine.load()),
            };
            self.later(Message::ToDesk(
                job.desk,
                CallEvent::AttemptEnded(job.link, told),
            ));
        }
    }

    fn later(&mut self, message: Message) {
        self.messages
            .entry(self.now + STEP)
            .or_default()
            .push(message);
    }

    fn step(&mut self, at: usize, event: CallEvent) {
        let actions = self.daemons[at].desk.handle(self.now, event);
        self.daemons[at].desk.take_decisions();
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: CallAction) {
        match action {
            CallAction::Probe { link, worker } => {
                let worker = self.daemons[at].keys[&worker];
                self.daemons[at].links.insert(link, worker);
                let health = self.machines[worker].health();
                self.later(Message::ToDesk(at, CallEvent::ProbeEnded(link, Ok(health))));
            }
            CallAction::Connect { link, worker } => {
                let worker = self.daemons[at].keys[&worker];
                self.daemons[at].links.insert(link, worker);
                self.later(Message::ToDesk(at, CallEvent::ConnectEnded(link, Ok(()))));
            }
            CallAction::Send(call, link, _) => self.forward(at, call, link),
            CallAction::Release(link) | CallAction::AbandonProbe(link) => {
                self.daemons[at].links.remove(&link);
            }
            CallAction::Close(link) => {
                if let Some(worker) = self.daemons[at].links.remove(&link) {
                    self.machines[worker].cancel(at, link);
                }
            }
            CallAction::Deliver(call, link) => {
                self.daemons[at].links.remove(&link);
                self.served(at, call);
            }
            CallAction::Refuse(call, refusal) => self.refused(at, call, refusal),
        }
    }

    fn forward(&mut self, at: usize, call: CallId, link: LinkId) {
        let worker = self.daemons[at].links[&link];
        let flow = self.daemons[at].callers[&call].flow;
        let sent = self.sent.entry((at, call)).or_default();
        self.repeats += usize::from(*sent > 0);
        *sent += 1;
        let usual = self.shape.flows[flow].work.as_secs() * 1_000.0;
        let left = usual * (0.6 + 0.8 * self.rng.f64());
        let job = Job {
            desk: at,
            left,
            link,
        };
        self.later(Message::Arrive(worker, job));
    }

    fn served(&mut self, at: usize, call: CallId) {
        let Some(caller) = self.daemons[at].callers.remove(&call) else {
            return;
        };
        let objective = self.shape.flows[caller.flow].objective;
        let report = &mut self.reports[caller.flow];
        if self.now.since(caller.first) <= objective {
            report.timely += 1;
        } else {
            report.late += 1;
        }
    }

    fn refused(&mut self, at: usize, call: CallId, refusal: Refusal) {
        let Some(caller) = self.daemons[at].callers.remove(&call) else {
            return;
        };
        let flow = &self.shape.flows[caller.flow];
        let left = (caller.first + flow.limit).since(self.now);
        let pause = match refusal {
            Refusal::NotRun(span) => Some(span.min(left.scale(1.0 / 3.0))),
            Refusal::Lost | Refusal::Timeout => {
                (flow.kind == Idempotency::Idempotent).then_some(Span::ZERO)
            }
        };
        if let Some(pause) = pause.filter(|_| caller.retries > 0 && left > STEP) {
            let retries = caller.retries - 1;
            let at = self.now + pause.max(STEP);
            let back = Message::Back(Caller { retries, ..caller });
            self.messages.entry(at).or_default().push(back);
            return;
        }
        let report = &mut self.reports[caller.flow];
        match refusal {
            Refusal::NotRun(_) => report.refused += 1,
            Refusal::Lost | Refusal::Timeout => report.failed += 1,
        }
    }
}
