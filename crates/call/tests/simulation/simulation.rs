//! A simulation of daemons, workers and callers in virtual time, in steps of a millisecond. A
//! message takes one step.

use {
    crate::{
        report::Report,
        scenario::{Scenario, Workload},
        sim_daemon::{SimCaller, SimDaemon, bounds, route},
        sim_worker::{Job, SimWorker},
    },
    call::{
        Arrival, AttemptEnding, AttemptReport, CallAction, CallError, CallEvent, CallId, LinkId,
        Policy,
    },
    fastrand::Rng,
    site::{Idempotency, Route},
    std::{collections::BTreeMap, sync::Arc},
    unit::{Map, Span, Time},
};

const STEP: Span = Span::millis(1);
/// The interval, in steps, at which the slow workers are drawn anew.
const PACE_STEPS: u64 = 150;
/// The time for the estimates to settle before responses are counted.
const WARM_UP: Span = Span::secs(2);

/// A message that is delivered in a later step: to the worker or daemon of an index, or a caller's
/// retry.
#[derive(Debug)]
enum Message {
    Request(usize, Job),
    Retry(SimCaller),
    ToDaemon(usize, CallEvent),
}

/// A running simulation.
pub(crate) struct Simulation {
    daemons: Vec<SimDaemon>,
    workers: Vec<SimWorker>,
    messages: BTreeMap<Time, Vec<Message>>,
    next_call: u64,
    now: Time,
    /// How many times requests were sent to further workers.
    repeats: usize,
    /// Requests that the daemons received from callers.
    requests: usize,
    reports: Vec<Report>,
    rng: Rng,
    routes: Vec<Arc<Route>>,
    /// How many times each request of each daemon was sent to a worker.
    sends: Map<(usize, CallId), u32>,
    scenario: Scenario,
}

impl Simulation {
    pub(crate) fn new(scenario: &Scenario, policy: Policy) -> Self {
        let now = Time::at(Span::secs(100));
        let daemons = (0..scenario.daemons).map(|at| SimDaemon::new(at, scenario, policy, now));
        Self {
            daemons: daemons.collect(),
            workers: (0..scenario.workers)
                .map(|_| SimWorker::new(scenario.slots))
                .collect(),
            messages: BTreeMap::new(),
            next_call: 0,
            now,
            repeats: 0,
            requests: 0,
            reports: vec![Report::default(); scenario.workloads.len()],
            rng: Rng::with_seed(scenario.seed),
            routes: scenario
                .workloads
                .iter()
                .map(|workload| Arc::new(route(workload)))
                .collect(),
            sends: Map::default(),
            scenario: scenario.clone(),
        }
    }

    /// Runs a scenario for a span after the warm-up and returns a report for each workload, in
    /// their order. Checks that the fleet stays within its limits on health probes and retries.
    pub(crate) fn play(scenario: &Scenario, policy: Policy, span: Span) -> Vec<Report> {
        let mut simulation = Self::new(scenario, policy);
        simulation.run(WARM_UP);
        simulation.reports = vec![Report::default(); scenario.workloads.len()];
        simulation.run(span);
        simulation.check_limits(WARM_UP + span);
        simulation.reports
    }

    fn check_limits(&self, span: Span) {
        let bounds = bounds();
        // A daemon starts with one probe saved. It may save up the probes of ten seconds.
        let limit = bounds.probe_rate * span.as_secs() + self.scenario.daemons as f64;
        for worker in &self.workers {
            assert!(worker.probes as f64 <= limit, "{} probes", worker.probes);
        }
        let windows = (span.as_secs() / bounds.retry_window.as_secs()).ceil();
        let limit = bounds.retry_ratio * self.requests as f64 + bounds.retry_extra * windows;
        assert!(self.repeats as f64 <= limit, "{} repeats", self.repeats);
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        let mut step = 0;
        while self.now < end {
            if step % PACE_STEPS == 0 {
                for worker in &mut self.workers {
                    worker.set_slow(self.rng.f64() < self.scenario.slow_fraction);
                }
            }
            step += 1;
            self.now = self.now + STEP;
            self.start_requests();
            self.run_workers();
            self.deliver();
            for at in 0..self.daemons.len() {
                self.handle(at, CallEvent::Tick);
            }
        }
    }

    fn start_requests(&mut self) {
        for workload in 0..self.scenario.workloads.len() {
            let Workload { rate, retries, .. } = self.scenario.workloads[workload];
            let mut expected = rate * STEP.as_secs();
            while self.rng.f64() < expected {
                self.reports[workload].callers += 1;
                let first = self.now;
                self.send(SimCaller {
                    first,
                    workload,
                    retries,
                });
                expected -= 1.0;
            }
        }
    }

    /// Sends a caller's request to a random daemon.
    fn send(&mut self, caller: SimCaller) {
        let at = self.rng.usize(..self.daemons.len());
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.requests += 1;
        let workload = &self.scenario.workloads[caller.workload];
        let timeout = Some((caller.first + workload.limit).since(self.now));
        let route = Arc::clone(&self.routes[caller.workload]);
        self.daemons[at].callers.insert(call, caller);
        let arrival = Arrival {
            call,
            timeout,
            route,
        };
        self.handle(at, CallEvent::Arrived(arrival));
    }

    fn run_workers(&mut self) {
        for worker in &mut self.workers {
            for job in worker.work() {
                let report = AttemptReport {
                    ending: AttemptEnding::Served,
                    load: Some(worker.load()),
                };
                let message =
                    Message::ToDaemon(job.daemon, CallEvent::AttemptEnded(job.link, report));
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
                    Message::Request(worker, job) => self.arrive(worker, job),
                    Message::Retry(caller) => self.send(caller),
                    Message::ToDaemon(at, event) => self.handle(at, event),
                }
            }
        }
    }

    fn arrive(&mut self, worker: usize, job: Job) {
        let rejects = self.rng.f64() < self.scenario.reject_fraction;
        let worker = &mut self.workers[worker];
        if rejects || !worker.arrive(job) {
            let report = AttemptReport {
                ending: AttemptEnding::NotRun,
                load: Some(worker.load()),
            };
            self.post(Message::ToDaemon(
                job.daemon,
                CallEvent::AttemptEnded(job.link, report),
            ));
        }
    }

    fn post(&mut self, message: Message) {
        self.messages
            .entry(self.now + STEP)
            .or_default()
            .push(message);
    }

    fn handle(&mut self, at: usize, event: CallEvent) {
        let actions = self.daemons[at].dispatcher.handle(self.now, event);
        self.daemons[at].dispatcher.take_decisions();
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: CallAction) {
        match action {
            CallAction::Probe { link, worker } => {
                let worker = self.daemons[at].keys[&worker];
                self.daemons[at].links.insert(link, worker);
                let health = self.workers[worker].health();
                self.post(Message::ToDaemon(
                    at,
                    CallEvent::ProbeEnded(link, Ok(health)),
                ));
            }
            CallAction::Connect { link, worker } => {
                let worker = self.daemons[at].keys[&worker];
                self.daemons[at].links.insert(link, worker);
                self.post(Message::ToDaemon(at, CallEvent::ConnectEnded(link, Ok(()))));
            }
            CallAction::Send(call, link, _) => self.forward(at, call, link),
            CallAction::Release(link) | CallAction::AbandonProbe(link) => {
                self.daemons[at].links.remove(&link);
            }
            CallAction::Close(link) => {
                if let Some(worker) = self.daemons[at].links.remove(&link) {
                    self.workers[worker].cancel(at, link);
                }
            }
            CallAction::Deliver(call, link) => {
                self.daemons[at].links.remove(&link);
                self.delivered(at, call);
            }
            CallAction::Fail(call, error) => self.refused(at, call, error),
        }
    }

    fn forward(&mut self, at: usize, call: CallId, link: LinkId) {
        let worker = self.daemons[at].links[&link];
        let workload = self.daemons[at].callers[&call].workload;
        let sends = self.sends.entry((at, call)).or_default();
        self.repeats += usize::from(*sends > 0);
        *sends += 1;
        let usual = self.scenario.workloads[workload].work.as_secs() * 1_000.0;
        let left = usual * (0.6 + 0.8 * self.rng.f64());
        let job = Job {
            daemon: at,
            left,
            link,
        };
        self.post(Message::Request(worker, job));
    }

    fn delivered(&mut self, at: usize, call: CallId) {
        let Some(caller) = self.daemons[at].callers.remove(&call) else {
            return;
        };
        let objective = self.scenario.workloads[caller.workload].objective;
        let report = &mut self.reports[caller.workload];
        if self.now.since(caller.first) <= objective {
            report.timely += 1;
        } else {
            report.late += 1;
        }
    }

    fn refused(&mut self, at: usize, call: CallId, error: CallError) {
        let Some(caller) = self.daemons[at].callers.remove(&call) else {
            return;
        };
        let workload = &self.scenario.workloads[caller.workload];
        let left = (caller.first + workload.limit).since(self.now);
        let delay = match error {
            CallError::NotRun(span) => Some(span.min(left.scale(1.0 / 3.0))),
            CallError::Lost | CallError::Timeout => {
                (workload.idempotency == Idempotency::Idempotent).then_some(Span::ZERO)
            }
        };
        if let Some(delay) = delay.filter(|_| caller.retries > 0 && left > STEP) {
            let retries = caller.retries - 1;
            let at = self.now + delay.max(STEP);
            let retry = Message::Retry(SimCaller { retries, ..caller });
            self.messages.entry(at).or_default().push(retry);
            return;
        }
        let report = &mut self.reports[caller.workload];
        match error {
            CallError::NotRun(_) => report.refused += 1,
            CallError::Lost | CallError::Timeout => report.failed += 1,
        }
    }
}
