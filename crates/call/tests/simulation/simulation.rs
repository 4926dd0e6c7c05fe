//! A simulation of daemons, workers and callers in virtual time, in steps of a millisecond. A
//! message takes one step.

use {
    crate::{
        report::Report,
        retry_rule::RetryRule,
        scenario::{Scenario, Workload},
        sim_daemon::{self, SimCaller, SimDaemon, bounds, route},
        sim_worker::{Job, SimWorker},
    },
    call::{
        Arrival, AttemptEnding, AttemptReport, CallAction, CallError, CallEvent, CallId, LinkId,
        Liveness, Policy,
    },
    fastrand::Rng,
    poison::Fingerprint,
    site::{Credential, Notice, Route, RouteKind},
    std::{collections::BTreeMap, sync::Arc},
    unit::{Map, Span, Time},
};

const STEP: Span = Span::millis(1);
/// The interval, in steps, at which daemons tell each other of the limits that workers name.
const GOSSIP_STEPS: u64 = 1_000;
/// How many others a daemon tells each time, and of how many workers at the most.
const GOSSIP_FANOUT: usize = 6;
const MAX_LIMITS: usize = 6;
const MAX_REJECTIONS: usize = 9;
/// When a simulation begins.
const START: Span = Span::secs(100);
/// The interval, in steps, at which it is drawn anew which workers are slow.
const REDRAW_STEPS: u64 = 150;
/// The time for the estimates to settle before responses are counted.
const WARM_UP: Span = Span::secs(2);

/// A message that is delivered in a later step: to the worker or the daemon with an index, or a
/// caller's retry.
#[derive(Debug)]
enum Message {
    Request(usize, Job),
    Retry(SimCaller),
    ToDaemon(usize, CallEvent),
}

/// A running simulation.
pub(crate) struct Simulation {
    daemons: Vec<SimDaemon>,
    pub(crate) workers: Vec<SimWorker>,
    messages: BTreeMap<Time, Vec<Message>>,
    next_call: u64,
    now: Time,
    /// Requests that arrived at workers which turn all away.
    pub(crate) rejected: usize,
    reports: Vec<Report>,
    pub(crate) retry_rule: RetryRule,
    rng: Rng,
    routes: Vec<Arc<Route>>,
    /// How many times each request of each daemon was sent to a worker.
    sends: Map<(usize, CallId), u32>,
    pub(crate) scenario: Scenario,
}

impl Simulation {
    pub(crate) fn new(scenario: &Scenario, policy: Policy) -> Self {
        let now = Time::at(START);
        // The daemons have run for longer than any window.
        let started = Time::ZERO;
        let daemon = |at| SimDaemon::new(at, scenario, policy, started, now);
        let daemons = (0..scenario.daemons).map(daemon);
        Self {
            daemons: daemons.collect(),
            workers: (0..scenario.workers)
                .map(|index| {
                    let said = scenario.notice(index);
                    let notice = if scenario.tells {
                        said
                    } else {
                        Notice::default()
                    };
                    SimWorker::new(scenario.slots, notice)
                })
                .collect(),
            messages: BTreeMap::new(),
            next_call: 0,
            now,
            rejected: 0,
            retry_rule: RetryRule::default(),
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

    /// Checks the limits on health probes and retries over `span`, the whole time simulated.
    fn check_limits(&self, span: Span) {
        let bounds = bounds();
        // Each daemon starts with one probe saved. What it saves up later, at most the probes of
        // ten seconds, comes from its share of the rate.
        let limit = bounds.probe_rate * span.as_secs() + self.scenario.daemons as f64;
        for worker in &self.workers {
            assert!(worker.probes as f64 <= limit, "{} probes", worker.probes);
        }
        self.retry_rule.check(&bounds);
    }

    /// Evacuates the data centre with an index.
    pub(crate) fn evacuate(&mut self, centre: usize) {
        let name = sim_daemon::centre(centre, &self.scenario);
        for daemon in &mut self.daemons {
            daemon.dispatcher.table.set_evacuated(name.clone(), true);
        }
    }

    /// Kills the daemon with an index and starts it again. What it had in flight is cancelled, and
    /// its callers give up.
    pub(crate) fn restart(&mut self, daemon_index: usize, policy: Policy) {
        let daemon = SimDaemon::new(daemon_index, &self.scenario, policy, self.now, self.now);
        let old = std::mem::replace(&mut self.daemons[daemon_index], daemon);
        for (link, worker) in old.links {
            self.workers[worker].cancel(daemon_index, link);
        }
        let is_lost = |message: &Message| match message {
            Message::Request(_, job) => job.daemon == daemon_index,
            Message::Retry(_) => false,
            Message::ToDaemon(index, _) => *index == daemon_index,
        };
        for messages in self.messages.values_mut() {
            messages.retain(|message| !is_lost(message));
        }
    }

    /// Begins to count anew.
    pub(crate) fn clear_reports(&mut self) {
        self.reports.fill(Report::default());
    }

    pub(crate) fn reports(&self) -> &[Report] {
        &self.reports
    }

    /// The mean number of attempts of a request that daemons received.
    pub(crate) fn tries(&self) -> f64 {
        let sends: u32 = self.sends.values().sum();
        f64::from(sends) / self.retry_rule.requests.len() as f64
    }

    /// How many daemons know of a limit of the worker with an index.
    pub(crate) fn count_limited(&self, worker: usize) -> usize {
        let knows = |daemon: &&SimDaemon| {
            let mut keys = daemon.keys.iter();
            let key = keys
                .find(|(_, index)| **index == worker)
                .map(|(key, _)| *key);
            let record = key.and_then(|key| daemon.dispatcher.table.get(key));
            record.is_some_and(|record| record.rate_limit().is_some())
        };
        self.daemons.iter().filter(knows).count()
    }

    /// When the simulation began.
    pub(crate) const fn start() -> Time {
        Time::at(START)
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        let mut step = 0;
        while self.now < end {
            if step % REDRAW_STEPS == 0 {
                for worker in &mut self.workers {
                    worker.set_slow(self.rng.f64() < self.scenario.slow_fraction);
                }
            }
            step += 1;
            self.now = self.now + STEP;
            for daemon_index in 0..self.daemons.len() {
                if self.scenario.gossips
                    && (step + daemon_index as u64).is_multiple_of(GOSSIP_STEPS)
                {
                    self.gossip(daemon_index);
                }
            }
            self.start_requests();
            self.run_workers();
            self.deliver();
            for daemon_index in 0..self.daemons.len() {
                self.handle(daemon_index, CallEvent::Tick);
            }
        }
    }

    /// Has a daemon tell others what workers told it of their limits, and which reject requests.
    fn gossip(&mut self, daemon_index: usize) {
        let dispatcher = &mut self.daemons[daemon_index].dispatcher;
        let news = dispatcher.limit_news(self.now, MAX_LIMITS);
        let rejections = dispatcher.rejection_news(self.now, MAX_REJECTIONS);
        for _ in 0..GOSSIP_FANOUT {
            let other = self.rng.usize(..self.daemons.len());
            for news in &news {
                self.daemons[other].dispatcher.adopt_limit(self.now, *news);
            }
            for news in &rejections {
                let dispatcher = &mut self.daemons[other].dispatcher;
                dispatcher.adopt_rejection(self.now, *news);
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
        let daemon_index = self.rng.usize(..self.daemons.len());
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.retry_rule.requests.push(self.now);
        let workload = &self.scenario.workloads[caller.workload];
        let timeout = Some((caller.first + workload.limit).since(self.now));
        let route = Arc::clone(&self.routes[caller.workload]);
        self.daemons[daemon_index].callers.insert(call, caller);
        let arrival = Arrival {
            account: None,
            call,
            credential: Credential::Absent,
            fingerprint: Fingerprint(call.0),
            forwarded: None,
            timeout,
            route,
            waited: Span::ZERO,
        };
        self.handle(daemon_index, CallEvent::Arrived(arrival));
    }

    fn run_workers(&mut self) {
        for worker in &mut self.workers {
            for job in worker.work() {
                let report = AttemptReport {
                    ending: AttemptEnding::Served,
                    load: Some(worker.load()),
                    notice: Some(worker.tell(self.now, job.daemon)),
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

    /// Delivers the messages that are due.
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
                    Message::ToDaemon(daemon_index, event) => self.handle(daemon_index, event),
                }
            }
        }
    }

    /// Lets a request arrive at a worker, which may refuse it.
    fn arrive(&mut self, worker: usize, job: Job) {
        let turns_away = self.scenario.turns_away(worker);
        self.rejected += usize::from(turns_away);
        let refuses = self.rng.f64() < self.scenario.refuse_fraction || turns_away;
        let worker = &mut self.workers[worker];
        worker.arrivals.push((self.now, job.daemon));
        if refuses || !worker.arrive(job) {
            let report = AttemptReport {
                ending: AttemptEnding::NotRun,
                load: Some(worker.load()),
                notice: Some(worker.tell(self.now, job.daemon)),
            };
            self.post(Message::ToDaemon(
                job.daemon,
                CallEvent::AttemptEnded(job.link, report),
            ));
        }
    }

    /// Sends a message, which takes one step.
    fn post(&mut self, message: Message) {
        self.messages
            .entry(self.now + STEP)
            .or_default()
            .push(message);
    }

    fn handle(&mut self, daemon_index: usize, event: CallEvent) {
        let actions = self.daemons[daemon_index]
            .dispatcher
            .handle(self.now, event);
        self.daemons[daemon_index].dispatcher.take_decisions();
        for action in actions {
            self.act(daemon_index, action);
        }
    }

    /// Carries out an action of a daemon's dispatcher.
    fn act(&mut self, daemon_index: usize, action: CallAction) {
        match action {
            CallAction::Probe { link, worker } => {
                let worker = self.daemons[daemon_index].keys[&worker];
                self.daemons[daemon_index].links.insert(link, worker);
                let health = self.workers[worker].health();
                self.post(Message::ToDaemon(
                    daemon_index,
                    CallEvent::ProbeEnded(link, Ok(health)),
                ));
            }
            CallAction::Connect { link, worker } => {
                let worker = self.daemons[daemon_index].keys[&worker];
                self.daemons[daemon_index].links.insert(link, worker);
                self.post(Message::ToDaemon(
                    daemon_index,
                    CallEvent::ConnectEnded(link, Ok(())),
                ));
            }
            CallAction::Check { link, .. } => {
                let alive = CallEvent::CheckEnded(link, Liveness::Alive);
                self.post(Message::ToDaemon(daemon_index, alive));
            }
            CallAction::Send(call, link, _) => self.forward(daemon_index, call, link),
            CallAction::Release(link) | CallAction::AbandonProbe(link) => {
                self.daemons[daemon_index].links.remove(&link);
            }
            CallAction::Close(link) => {
                if let Some(worker) = self.daemons[daemon_index].links.remove(&link) {
                    self.workers[worker].cancel(daemon_index, link);
                }
            }
            CallAction::Deliver(call, link) => {
                self.daemons[daemon_index].links.remove(&link);
                self.delivered(daemon_index, call);
            }
            CallAction::Fail(call, error) => self.call_failed(daemon_index, call, error),
            CallAction::Forward(_) | CallAction::Try { .. } => {
                unreachable!("all workers can be reached here, and no helper is known")
            }
        }
    }

    /// Sends a request to the worker of a link, with a random service time.
    fn forward(&mut self, daemon_index: usize, call: CallId, link: LinkId) {
        let worker = self.daemons[daemon_index].links[&link];
        let workload = self.daemons[daemon_index].callers[&call].workload;
        let sends = self.sends.entry((daemon_index, call)).or_default();
        if *sends > 0 {
            self.retry_rule.repeats.push(self.now);
        }
        *sends += 1;
        let mean_ms = self.scenario.workloads[workload].work.as_secs() * 1_000.0;
        let left = mean_ms * (0.6 + 0.8 * self.rng.f64());
        let job = Job {
            daemon: daemon_index,
            left,
            link,
        };
        self.post(Message::Request(worker, job));
    }

    /// Counts a response that a caller got.
    fn delivered(&mut self, daemon_index: usize, call: CallId) {
        let Some(caller) = self.daemons[daemon_index].callers.remove(&call) else {
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

    /// Handles an error response from a daemon: the caller retries or gives up.
    fn call_failed(&mut self, daemon_index: usize, call: CallId, error: CallError) {
        let Some(caller) = self.daemons[daemon_index].callers.remove(&call) else {
            return;
        };
        let workload = &self.scenario.workloads[caller.workload];
        let left = (caller.first + workload.limit).since(self.now);
        let delay = match error {
            CallError::Barred(span) | CallError::NotRun(span) => {
                Some(span.min(left.scale(1.0 / 3.0)))
            }
            CallError::Lost | CallError::Timeout => {
                (workload.kind == RouteKind::Idempotent).then_some(Span::ZERO)
            }
            CallError::Unauthorized => None,
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
            CallError::Barred(_) | CallError::NotRun(_) => report.refused += 1,
            CallError::Lost | CallError::Timeout | CallError::Unauthorized => report.failed += 1,
        }
    }
}
