use {
    crate::{
        Arrival, CallAction, CallEvent, CallId, Decision, DecisionRecord, LinkId, Policy,
        ProbeFailure, Refusal,
        call::{Call, Offer},
        split::Split,
    },
    fastrand::Rng,
    limit::RetryBudget,
    pick::{LatencyEstimate, WorkerKey, WorkerTable},
    site::{Config, LoadReport},
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc},
    unit::{Map, Name, Set, Span, Time},
};

/// How long a request is given where neither its caller nor its route says.
const DEFAULT_DEADLINE: Span = Span::secs(30);
/// The part of the objective that work is first believed to take.
const FIRST_GUESS: f64 = 0.35;

/// Decides for all requests of a daemon.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) actions: Vec<CallAction>,
    pub(crate) calls: Map<CallId, Call>,
    pub(crate) config: Arc<Config>,
    pub(crate) links: Map<LinkId, CallId>,
    /// The lowest rank among the routes of each service, as the highest `priority`.
    pub(crate) lowest: Map<Name, u32>,
    pub(crate) next_link: u64,
    pub(crate) notes: Vec<DecisionRecord>,
    pub(crate) policy: Policy,
    pub(crate) retries: Map<Name, RetryBudget>,
    pub(crate) rng: Rng,
    pub(crate) splits: Map<Name, Split>,
    /// What is believed of the workers.
    pub table: WorkerTable,
    pub(crate) timers: BinaryHeap<Reverse<(Time, CallId)>>,
    pub(crate) work: Map<Name, LatencyEstimate>,
}

impl Dispatcher {
    /// A desk without requests.
    pub fn new(policy: Policy, table: WorkerTable, rng: Rng) -> Self {
        Self {
            actions: Vec::new(),
            calls: Map::default(),
            config: Arc::default(),
            links: Map::default(),
            lowest: Map::default(),
            next_link: 0,
            notes: Vec::new(),
            policy,
            retries: Map::default(),
            rng,
            splits: Map::default(),
            table,
            timers: BinaryHeap::new(),
            work: Map::default(),
        }
    }

    /// Puts a configuration in force; requests under way keep their routes. What was learnt of routes
    /// that are gone is dropped.
    pub fn configure(&mut self, config: Arc<Config>) {
        let mut routes = Set::default();
        self.lowest.clear();
        for route in config.hosts.values().flatten() {
            routes.insert(&route.name);
            for target in &route.targets {
                let lowest = self.lowest.entry(target.service.clone()).or_default();
                *lowest = route.priority.max(*lowest);
            }
        }
        self.splits.retain(|name, _| routes.contains(name));
        self.work.retain(|name, _| routes.contains(name));
        self.config = config;
    }

    /// How many requests are under way.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no request is under way.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When [`CallEvent::Tick`] is due next.
    pub fn next_tick(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes in an event and tells what to do.
    pub fn handle(&mut self, now: Time, event: CallEvent) -> Vec<CallAction> {
        match event {
            CallEvent::AttemptEnded(link, told) => self.answered(now, link, told),
            CallEvent::ProbeEnded(link, health) => self.asked(now, link, health),
            CallEvent::Arrived(begin) => self.begin(now, begin),
            CallEvent::CallerDisconnected(call) => self.gone(call),
            CallEvent::ConnectEnded(link, result) => self.opened(now, link, result),
            CallEvent::Tick => self.tick(now),
            CallEvent::LateHealth(worker, health) => self.table.record_health(worker, now, &health),
        }
        std::mem::take(&mut self.actions)
    }

    /// The decisions since the last call, for the log.
    pub fn take_decisions(&mut self) -> Vec<DecisionRecord> {
        std::mem::take(&mut self.notes)
    }

    fn begin(&mut self, now: Time, begin: Arrival) {
        let Arrival {
            call: id,
            timeout,
            route,
        } = begin;
        let split = self.splits.entry(route.name.clone()).or_default();
        let Some(service) = split.next(&route.targets).cloned() else {
            self.actions
                .push(CallAction::Refuse(id, Refusal::NotRun(Span::secs(1))));
            return;
        };
        let most = timeout.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        self.retry_share(&service).record_request(now);
        let call = Call::new(route, service, now, now + most);
        self.timers.push(Reverse((call.deadline, id)));
        self.calls.insert(id, call);
        self.search(now, id);
    }

    pub(crate) fn retry_share(&mut self, service: &Name) -> &mut RetryBudget {
        let bounds = &self.policy.bounds;
        self.retries.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window)
        })
    }

    pub(crate) fn work(&mut self, call: &Call) -> &mut LatencyEstimate {
        let guess = call.route.objective.scale(FIRST_GUESS);
        self.work
            .entry(call.route.name.clone())
            .or_insert_with(|| LatencyEstimate::new(guess))
    }

    fn tick(&mut self, now: Time) {
        while let Some(Reverse((at, id))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.due(now, id);
        }
    }

    /// Does what is due for a request; timers that no longer matter do nothing.
    fn due(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if now >= call.deadline {
            self.overdue(now, id);
            return;
        }
        if let Some(ask) = call.ask.take_if(|ask| now >= ask.until) {
            self.links.remove(&ask.link);
            self.actions.push(CallAction::AbandonProbe(ask.link));
            self.table.record_unreachable(ask.worker, now);
            self.passed(now, id, ask.worker, Some(ProbeFailure::TimedOut), None);
            self.search(now, id);
            return;
        }
        if call.pause.take_if(|until| now >= *until).is_some() {
            self.search(now, id);
            return;
        }
        self.hedge(now, id);
    }

    /// Gives up an offer that wasn't used.
    pub(crate) fn decline(&mut self, offer: &Offer) {
        if let Some(taken) = offer.permit {
            self.table.return_cold_permit(offer.worker, taken);
        }
        self.release(offer.link);
    }

    pub(crate) fn release(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.actions.push(CallAction::Release(link));
    }

    pub(crate) fn drop_link(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.actions.push(CallAction::Close(link));
    }

    pub(crate) fn passed(
        &mut self,
        now: Time,
        id: CallId,
        worker: WorkerKey,
        failure: Option<ProbeFailure>,
        load: Option<LoadReport>,
    ) {
        let step = Decision::Skipped {
            failure,
            load,
            worker,
        };
        self.note(now, id, step);
    }

    pub(crate) fn note(&mut self, now: Time, call: CallId, step: Decision) {
        let began = self.calls.get(&call).map_or(now, |call| call.began);
        self.notes.push(DecisionRecord {
            call,
            elapsed: now.since(began),
            decision: step,
        });
    }
}
