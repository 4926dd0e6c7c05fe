use {
    crate::{
        Arrival, CallAction, CallError, CallEvent, CallId, Decision, DecisionRecord, LinkId,
        NoticeChange, Policy, ProbeFailure, StopPlan,
        call::{Call, Candidate},
        crashes::{Check, Suspicion, WorkerCrash},
        forwarding::Trial,
        leaving::LeavingCount,
        reaching::ReachChange,
        rejections::RejectionChange,
        shedding::WaitLimit,
        split::Split,
    },
    fastrand::Rng,
    forward::{Helpers, Reach},
    limit::RetryBudget,
    pick::{LatencyEstimate, NoticeSource, TransferEstimate, WorkerKey, WorkerTable},
    poison::CrashLog,
    rollout::Rollout,
    site::{Accounts, Config, HealthReport, LoadReport, Notice, Route},
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc},
    unit::{Map, Name, Span, Time},
};

/// The initial estimate of a route's latency, as a fraction of its latency objective.
const INITIAL_LATENCY: f64 = 0.35;

/// Selects workers and decides on retries, hedges and responses for all requests of a daemon.
#[derive(Debug)]
pub struct Dispatcher {
    /// The client accounts of the configuration.
    pub(crate) accounts: Accounts,
    /// The actions of the event that is being handled.
    pub(crate) actions: Vec<CallAction>,
    pub(crate) calls: Map<CallId, Call>,
    /// The checks of workers in progress, by their links.
    pub(crate) checks: Map<LinkId, Check>,
    pub(crate) config: Arc<Config>,
    /// Which requests were in flight at workers that crashed.
    pub(crate) crash_log: CrashLog,
    /// The daemons that may take requests of this one.
    pub helpers: Helpers,
    /// The request that each use of a connection belongs to.
    pub(crate) links: Map<LinkId, CallId>,
    /// What left this daemon's data centre, by service.
    pub(crate) leaving: Map<Name, LeavingCount>,
    /// The lowest priority that a request to each service may have, which is the highest number.
    pub(crate) lowest_priority: Map<Name, u32>,
    pub(crate) next_link: u64,
    /// The decisions that [`Self::take_decisions`] has not yet returned.
    pub(crate) decisions: Vec<DecisionRecord>,
    pub(crate) policy: Policy,
    /// Whether each route of the configuration is public, by the route's name.
    pub(crate) public_routes: Map<Name, bool>,
    /// The changes that [`Self::take_reach_changes`] has not yet returned.
    pub(crate) reach_changes: Vec<ReachChange>,
    /// Whether this daemon reaches the workers of each service that has failed it.
    pub(crate) reaches: Map<Name, Reach>,
    /// This daemon's share of the limit on retries and hedges, by the service's name.
    pub(crate) retry_budgets: Map<Name, RetryBudget>,
    pub(crate) rng: Rng,
    /// The rollouts of services' versions, by the service's name.
    pub rollouts: Map<Name, Rollout>,
    /// The time of the event that is being handled.
    pub(crate) now: Time,
    /// The weighted split of each route, by the route's name.
    pub(crate) splits: Map<Name, Split>,
    /// The plan by which this daemon stops; `None` while it doesn't.
    pub(crate) stop: Option<StopPlan>,
    /// Workers that may have crashed.
    pub(crate) suspicions: Vec<Suspicion>,
    /// What this daemon knows of the workers.
    pub table: WorkerTable,
    /// The crashes that [`Self::take_crashes`] has not yet returned.
    pub(crate) new_crashes: Vec<WorkerCrash>,
    /// The changes that [`Self::take_notice_changes`] has not yet returned.
    pub(crate) notice_changes: Vec<NoticeChange>,
    /// The changes that [`Self::take_rejection_changes`] has not yet returned.
    pub(crate) rejection_changes: Vec<RejectionChange>,
    /// When each request is to be looked at again. Entries are not removed when they become
    /// obsolete.
    pub(crate) timers: BinaryHeap<Reverse<(Time, CallId)>>,
    /// The trials in flight.
    pub(crate) trials: Map<LinkId, Trial>,
    /// The estimated bytes of requests and their responses, by the route's name.
    pub(crate) transfers: Map<Name, TransferEstimate>,
    /// How many requests may wait for workers, by the route's name.
    pub(crate) wait_limits: Map<Name, WaitLimit>,
    /// The estimated latencies, by the route's name.
    pub(crate) latency_estimates: Map<Name, LatencyEstimate>,
}

impl Dispatcher {
    /// Creates a dispatcher without requests.
    pub fn new(policy: Policy, table: WorkerTable, rng: Rng) -> Self {
        Self {
            accounts: Accounts::default(),
            actions: Vec::new(),
            calls: Map::default(),
            checks: Map::default(),
            config: Arc::default(),
            crash_log: CrashLog::default(),
            helpers: Helpers::default(),
            links: Map::default(),
            leaving: Map::default(),
            lowest_priority: Map::default(),
            next_link: 0,
            decisions: Vec::new(),
            policy,
            public_routes: Map::default(),
            reach_changes: Vec::new(),
            reaches: Map::default(),
            retry_budgets: Map::default(),
            rng,
            rollouts: Map::default(),
            now: Time::ZERO,
            splits: Map::default(),
            stop: None,
            suspicions: Vec::new(),
            table,
            new_crashes: Vec::new(),
            notice_changes: Vec::new(),
            rejection_changes: Vec::new(),
            timers: BinaryHeap::new(),
            transfers: Map::default(),
            trials: Map::default(),
            wait_limits: Map::default(),
            latency_estimates: Map::default(),
        }
    }

    /// The client accounts of the configuration.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// The number of requests in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When the next [`CallEvent::Tick`] is due; `None` while no timer is set.
    pub fn next_tick(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        timer.into_iter().chain(self.next_trial()).min()
    }

    /// The request that a link is used for.
    pub fn call_of(&self, link: LinkId) -> Option<CallId> {
        self.links.get(&link).copied()
    }

    /// The service of a request in progress.
    pub fn service_of(&self, call: CallId) -> Option<&Name> {
        self.calls.get(&call).map(|call| &call.service)
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, event: CallEvent) -> Vec<CallAction> {
        self.now = now;
        match event {
            CallEvent::AttemptEnded(link, report) => self.attempt_ended(now, link, report),
            CallEvent::ProbeEnded(link, health) => self.probe_ended(now, link, health),
            CallEvent::Arrived(arrival) => self.arrived(now, arrival),
            CallEvent::CallerDisconnected(call) => self.caller_disconnected(call),
            CallEvent::CheckEnded(link, liveness) => self.check_ended(now, link, liveness),
            CallEvent::ConnectEnded(link, result) => self.connect_ended(now, link, result),
            CallEvent::ForwardEnded(link, ending) => self.forward_ended(now, link, ending),
            CallEvent::StopEnded => self.answer_all(now),
            CallEvent::Stopping(plan) => self.stop = Some(plan),
            CallEvent::Tick => self.run_timers(now),
            CallEvent::NoticePassedOn(run, notice) => self.notice_passed_on(now, run, notice),
            CallEvent::NoticeHeard(worker, notice) => {
                self.record_notice(now, worker, NoticeSource::Response, notice);
            }
            CallEvent::LateHealth(worker, health) => {
                self.note_reached(now, worker);
                self.record_health(now, worker, &health);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes the decisions made since the last call, for the log and the metrics.
    pub fn take_decisions(&mut self) -> Vec<DecisionRecord> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the changes of what workers ask of their callers since the last call, for the log.
    pub fn take_notice_changes(&mut self) -> Vec<NoticeChange> {
        std::mem::take(&mut self.notice_changes)
    }

    /// Picks the request's service and starts worker selection.
    fn arrived(&mut self, now: Time, arrival: Arrival) {
        let max_wait = arrival.max_wait();
        let Arrival {
            account,
            call: id,
            credential,
            fingerprint,
            forwarded,
            route,
            ..
        } = arrival;
        let service = match &forwarded {
            Some(forwarded) => Some(forwarded.service.clone()),
            None => self.pick_service(&route),
        };
        let Some(service) = service else {
            self.actions
                .push(CallAction::Fail(id, CallError::NotRun(Span::secs(1))));
            return;
        };
        let mut call = Call::new(fingerprint, route, service, now, now + max_wait);
        call.account = account;
        call.credential = credential;
        match forwarded {
            // The daemon at which it arrived has counted it.
            Some(forwarded) => {
                call.from_peer = true;
                call.max_attempts = call.max_attempts.min(forwarded.attempts);
            }
            None => self.retry_budget(&call.service).record_request(now),
        }
        call.canary = self.draw_canary(now, &call.service);
        self.timers.push(Reverse((call.deadline, id)));
        self.calls.insert(id, call);
        self.select_worker(now, id);
    }

    /// The service that a route's weights pick for the next request.
    fn pick_service(&mut self, route: &Route) -> Option<Name> {
        let split = self
            .splits
            .entry(route.name.clone())
            .or_insert_with(|| Split::new(&route.targets, &mut self.rng));
        split.next(&route.targets).cloned()
    }

    /// This daemon's share of the limit on retries and hedges of a service's requests.
    pub(crate) fn retry_budget(&mut self, service: &Name) -> &mut RetryBudget {
        let unused = self.unused_retry_budget();
        self.retry_budgets.entry(service.clone()).or_insert(unused)
    }

    /// Whether this daemon may use its whole share of the limit on retries.
    pub fn may_retry(&self, now: Time) -> bool {
        self.table.sharers(now).is_some() && self.unused_retry_budget().is_open(now)
    }

    /// The budget of a service that has had no requests.
    fn unused_retry_budget(&self) -> RetryBudget {
        let bounds = &self.policy.bounds;
        RetryBudget::new(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window,
            self.table.started(),
        )
    }

    /// The estimated latency of the request's route, to be updated.
    pub(crate) fn latency_estimate(&mut self, call: &Call) -> &mut LatencyEstimate {
        let known = self.known_latency(call);
        self.latency_estimates
            .entry(call.route.name.clone())
            .or_insert(known)
    }

    /// The estimated latency of the request's route.
    pub(crate) fn known_latency(&self, call: &Call) -> LatencyEstimate {
        let initial = call.route.objective.scale(INITIAL_LATENCY);
        let known = self.latency_estimates.get(&call.route.name).copied();
        known.unwrap_or_else(|| LatencyEstimate::new(initial))
    }

    /// Handles whatever is due by now.
    fn run_timers(&mut self, now: Time) {
        self.run_trials(now);
        while let Some(Reverse((at, id))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.run_timer(now, id);
        }
    }

    /// Handles whatever is due for a request: its deadline, a probe's timeout, the end of a backoff
    /// or a hedge. An obsolete timer has no effect.
    fn run_timer(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if now >= call.deadline {
            self.deadline_passed(now, id);
            return;
        }
        if let Some(probe) = call.probe.take_if(|probe| now >= probe.deadline) {
            self.links.remove(&probe.link);
            self.actions.push(CallAction::AbandonProbe(probe.link));
            self.table.record_unreachable(probe.worker, now);
            self.note_failed(now, probe.worker);
            self.record_skip(now, id, probe.worker, Some(ProbeFailure::TimedOut), None);
            self.select_worker(now, id);
            return;
        }
        if call.backoff_until.take_if(|until| now >= *until).is_some() {
            self.select_worker(now, id);
            return;
        }
        self.start_hedge(now, id);
    }

    /// Records a worker's response to a health probe.
    pub(crate) fn record_health(&mut self, now: Time, worker: WorkerKey, health: &HealthReport) {
        self.table.record_health(worker, now, health);
        self.record_notice(now, worker, NoticeSource::Probe, health.notice);
    }

    /// Records what a worker asks of its callers.
    pub(crate) fn record_notice(
        &mut self,
        now: Time,
        worker: WorkerKey,
        source: NoticeSource,
        notice: Notice,
    ) {
        let drain = self.policy.bounds.drain;
        let changed = self.table.record_notice(worker, now, drain, source, notice);
        if changed {
            self.notice_changes.push(NoticeChange {
                source,
                unreadable: notice.unreadable,
                worker,
            });
        }
    }

    /// Returns a candidate's cold-start permit and connection unused.
    pub(crate) fn discard_candidate(&mut self, candidate: &Candidate) {
        if let Some(permit) = candidate.cold_permit {
            self.table.return_cold_permit(candidate.worker, permit);
        }
        self.release_link(candidate.link);
    }

    /// Returns a connection to the pool.
    pub(crate) fn release_link(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.actions.push(CallAction::Release(link));
    }

    /// Closes a connection and ends what is in flight on it.
    pub(crate) fn close_link(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.actions.push(CallAction::Close(link));
    }

    /// Records that a probed worker was not selected.
    pub(crate) fn record_skip(
        &mut self,
        now: Time,
        id: CallId,
        worker: WorkerKey,
        failure: Option<ProbeFailure>,
        load: Option<LoadReport>,
    ) {
        let decision = Decision::Skipped {
            failure,
            load,
            worker,
        };
        self.record(now, id, decision);
    }

    /// Records a decision with the time since the request arrived.
    pub(crate) fn record(&mut self, now: Time, call: CallId, decision: Decision) {
        let arrived_at = self.calls.get(&call).map_or(now, |call| call.arrived_at);
        self.decisions.push(DecisionRecord {
            call,
            elapsed: now.since(arrived_at),
            decision,
        });
    }
}
