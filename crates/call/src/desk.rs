use {
    crate::{
        Action, Answer, AskFailure, Begin, CallId, Event, LinkId, Note, Policy, Refusal, Step,
        Told,
        call::{Ask, Attempt, Call, Offer, Search},
        split::Split,
    },
    fastrand::Rng,
    limit::RetryShare,
    pick::{Key, Outcome, Standing, Table, Wanted, Work},
    site::{Config, Health, Load},
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc},
    unit::{Map, Name, Span, Time},
};

/// How long a request is given where neither its caller nor its route says.
const DEFAULT_DEADLINE: Span = Span::secs(30);
/// The part of the objective that work is first believed to take.
const FIRST_GUESS: f64 = 0.35;
/// The pause before another search for a second worker, where one found none.
const HEDGE_PAUSE: Span = Span::millis(50);
/// How many times the typical work must still fit into the objective while a request waits for a
/// better worker.
const WAIT_MARGIN: f64 = 1.4;
/// The part of what is left of the objective within which an answer must be expected for a worker
/// to be taken at once.
const FIT: f64 = 0.9;
/// The time since sending, in parts of what was expected, before which a request isn't sent again.
const HEDGE_AFTER: f64 = 1.6;
/// How many times the typical work must still fit into the objective for a hedge to pay.
const HEDGE_MARGIN: f64 = 1.25;
/// The part of the objective after which callers that were refused may come back.
const COME_BACK: f64 = 0.5;
/// When callers may come back whose request a worker with room refused.
const COME_BACK_SOON: Span = Span::millis(10);
/// Requests beyond its slots that a worker gets from requests of the highest rank.
const URGENT_QUEUE: u32 = 2;
/// How long a worker that was warm is taken for warm without being asked.
const WARM_FOR: Span = Span::millis(500);
/// Least time that must be left for a worker to be given the request.
const MIN_LEFT: Span = Span::millis(5);

/// Decides for all requests of a daemon.
#[derive(Debug)]
pub struct Desk {
    actions: Vec<Action>,
    calls: Map<CallId, Call>,
    config: Arc<Config>,
    links: Map<LinkId, CallId>,
    next_link: u64,
    notes: Vec<Note>,
    policy: Policy,
    retries: Map<Name, RetryShare>,
    rng: Rng,
    splits: Map<Name, Split>,
    /// What is believed of the workers.
    pub table: Table,
    timers: BinaryHeap<Reverse<(Time, CallId)>>,
    work: Map<Name, Work>,
}

impl Desk {
    /// A desk without requests.
    pub fn new(policy: Policy, table: Table, rng: Rng) -> Self {
        Self {
            actions: Vec::new(),
            calls: Map::default(),
            config: Arc::default(),
            links: Map::default(),
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

    /// Puts a configuration in force; requests under way keep their routes.
    pub fn configure(&mut self, config: Arc<Config>) {
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

    /// When [`Event::Tick`] is due next.
    pub fn next_tick(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes in an event and tells what to do.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Answered(link, told) => self.answered(now, link, told),
            Event::Asked(link, health) => self.asked(now, link, health),
            Event::Begin(begin) => self.begin(now, begin),
            Event::Gone(call) => self.gone(call),
            Event::Opened(link, result) => self.opened(now, link, result),
            Event::Tick => self.tick(now),
            Event::Told(worker, health) => self.table.health(worker, now, &health),
        }
        std::mem::take(&mut self.actions)
    }

    /// The decisions since the last call, for the log.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    fn begin(&mut self, now: Time, begin: Begin) {
        let Begin {
            call: id,
            deadline,
            route,
        } = begin;
        let split = self.splits.entry(route.name.clone()).or_default();
        let Some(service) = split.next(&route.targets).cloned() else {
            self.actions
                .push(Action::Refuse(id, Refusal::NotRun(Span::secs(1))));
            return;
        };
        let most = deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        self.retry_share(&service).request(now);
        let call = Call::new(route, service, now, now + most);
        self.timers.push(Reverse((call.deadline, id)));
        self.calls.insert(id, call);
        self.search(now, id);
    }

    fn retry_share(&mut self, service: &Name) -> &mut RetryShare {
        let bounds = &self.policy.bounds;
        self.retries.entry(service.clone()).or_insert_with(|| {
            RetryShare::new(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window)
        })
    }

    fn work(&mut self, call: &Call) -> &mut Work {
        let guess = call.route.objective.scale(FIRST_GUESS);
        self.work
            .entry(call.route.name.clone())
            .or_insert_with(|| Work::new(guess))
    }

    /// Asks the next worker, or settles where enough were asked.
    fn search(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.asked.len() >= self.policy.asks {
            self.settle(now, id);
            return;
        }
        let mut skip = [&call.asked[..], &call.tried[..]].concat();
        let (excluded, asked) = (call.tried.len(), skip.len());
        let call = call.clone();
        let patient = call.waited && self.may_wait(now, &call);
        let service = call.service.clone();
        let bound = self.policy.bounds.probes;
        loop {
            let wanted = Wanted {
                patient,
                skip: &skip,
                service: &service,
            };
            let Some(choice) = self.table.next(now, &wanted, &mut self.rng) else {
                if skip.len() == excluded && !patient {
                    // There is no worker to wait for.
                    self.give_up(now, id);
                } else if skip.len() > asked {
                    self.choose_unasked(now, id);
                } else {
                    self.settle(now, id);
                }
                return;
            };
            // Workers that failed or leave are asked only where nothing better was found.
            let held = self.calls.get(&id).is_some_and(|call| call.offer.is_some());
            if held && choice.standing >= Standing::Suspect {
                self.settle(now, id);
                return;
            }
            if self.table.take_probe(choice.key, now, bound) {
                self.ask(now, id, choice.key);
                return;
            }
            skip.push(choice.key);
        }
    }

    fn ask(&mut self, now: Time, id: CallId, worker: Key) {
        let until = now + self.policy.ask_time;
        if let Some(link) = self.begin_ask(id, worker, until) {
            self.actions.push(Action::Ask { link, worker });
        }
    }

    fn begin_ask(&mut self, id: CallId, worker: Key, until: Time) -> Option<LinkId> {
        let call = self.calls.get_mut(&id)?;
        let link = LinkId(self.next_link);
        self.next_link += 1;
        call.asked.push(worker);
        call.ask = Some(Ask {
            link,
            until,
            worker,
        });
        self.links.insert(link, id);
        self.timers.push(Reverse((until, id)));
        Some(link)
    }

    /// Where the health requests that the daemon may make are spent, goes by what is known of the
    /// workers. This answers load of more requests a worker and second than those.
    fn choose_unasked(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        if call.offer.is_some() {
            self.settle(now, id);
            return;
        }
        let mut skip = [&call.asked[..], &call.tried[..]].concat();
        loop {
            let wanted = Wanted {
                patient: false,
                skip: &skip,
                service: &call.service,
            };
            let choice = self.table.next(now, &wanted, &mut self.rng);
            let Some(choice) = choice.filter(|choice| choice.standing <= Standing::Suspect) else {
                self.settle(now, id);
                return;
            };
            if self.seems_free(now, &call, choice.key, choice.standing) {
                self.open(now, id, choice.key);
                return;
            }
            skip.push(choice.key);
        }
    }

    /// Whether a worker has room as far as is known, and may get work without being asked.
    fn seems_free(&mut self, now: Time, call: &Call, worker: Key, standing: Standing) -> bool {
        let Some(belief) = self.table.get(worker) else {
            return false;
        };
        let load = belief.load(now);
        let room = load.is_none_or(|(load, _)| self.has_room(call, load));
        let heard = load.is_some_and(|(_, age)| age < WARM_FOR);
        let warm = heard && !belief.is_cold(now);
        // One that failed must at least have answered just now.
        let sound = standing == Standing::Usable || heard;
        room && sound && (warm || self.admits_cold(now, call, worker))
    }

    fn open(&mut self, now: Time, id: CallId, worker: Key) {
        let until = now + self.policy.ask_time;
        let Some(link) = self.begin_ask(id, worker, until) else {
            return;
        };
        self.actions.push(Action::Open { link, worker });
    }

    fn opened(&mut self, now: Time, link: LinkId, result: Result<(), AskFailure>) {
        let Some(id) = self.links.get(&link).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(ask) = call.ask.take_if(|ask| ask.link == link) else {
            return;
        };
        if let Err(failure) = result {
            self.links.remove(&link);
            self.passed(now, id, ask.worker, Some(failure), None);
            self.search(now, id);
            return;
        }
        let call = call.clone();
        let work = *self.work(&call);
        let Some(belief) = self.table.get(ask.worker) else {
            self.drop_link(link);
            self.search(now, id);
            return;
        };
        let offer = Offer {
            cold: belief.is_cold(now),
            expected: belief.expected(now, &work),
            link,
            load: belief.load(now).map(|(load, _)| load),
            worker: ask.worker,
        };
        self.send(now, id, offer);
    }

    fn asked(&mut self, now: Time, link: LinkId, health: Result<Health, AskFailure>) {
        let Some(id) = self.links.get(&link).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(ask) = call.ask.take_if(|ask| ask.link == link) else {
            return;
        };
        match health {
            Ok(health) => self.room(now, id, ask, &health),
            Err(failure) => {
                self.links.remove(&link);
                if failure != AskFailure::NoConnection {
                    self.table.strike(ask.worker, now);
                }
                self.passed(now, id, ask.worker, Some(failure), None);
                self.search(now, id);
            }
        }
    }

    /// Weighs what a worker said of itself.
    fn room(&mut self, now: Time, id: CallId, ask: Ask, health: &Health) {
        let Some(belief) = self.table.get(ask.worker) else {
            self.drop_link(ask.link);
            self.search(now, id);
            return;
        };
        if health.id.as_ref().is_some_and(|id| *id != belief.worker.id) {
            self.table.misdirected(ask.worker, now);
            self.drop_link(ask.link);
            self.passed(now, id, ask.worker, None, health.load);
            self.search(now, id);
            return;
        }
        self.table.health(ask.worker, now, health);
        let Some(offer) = self.offer(now, id, ask, health) else {
            self.release(ask.link);
            self.passed(now, id, ask.worker, None, health.load);
            self.search(now, id);
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let good = offer.expected <= call.left(now).scale(FIT) && health.healthy;
        let worse = call.offer.replace(offer).map(|old| {
            if old.expected <= offer.expected {
                (old, offer)
            } else {
                (offer, old)
            }
        });
        if let Some((better, worse)) = worse {
            call.offer = Some(better);
            self.release(worse.link);
            self.passed(now, id, worse.worker, None, worse.load);
        }
        if good {
            self.settle(now, id);
        } else {
            self.search(now, id);
        }
    }

    /// What the worker offers; `None` where the request may not go there.
    fn offer(&mut self, now: Time, id: CallId, ask: Ask, health: &Health) -> Option<Offer> {
        let call = self.calls.get(&id)?.clone();
        if self.table.standing(ask.worker, now) == Standing::Barred {
            return None;
        }
        if let Some(load) = health.load
            && !self.has_room(&call, load)
        {
            return None;
        }
        let cold = health.cold > Span::ZERO;
        if cold && !self.admits_cold(now, &call, ask.worker) {
            return None;
        }
        let work = *self.work(&call);
        let belief = self.table.get(ask.worker)?;
        Some(Offer {
            cold,
            expected: belief.expected(now, &work),
            link: ask.link,
            load: health.load,
            worker: ask.worker,
        })
    }

    /// Requests of the highest rank may wait at a worker, others need a free slot. Under more load
    /// than the workers bear, this serves the higher rank first.
    fn has_room(&self, call: &Call, load: Load) -> bool {
        let queue = if self.urgent(call) { URGENT_QUEUE } else { 0 };
        load.running + load.waiting < load.slots + queue.min(load.slots)
    }

    fn urgent(&self, call: &Call) -> bool {
        let routes = self.config.hosts.values().flatten();
        let mut same = routes.filter(|route| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == call.service)
        });
        same.all(|route| route.priority >= call.route.priority)
    }

    fn admits_cold(&mut self, now: Time, call: &Call, worker: Key) -> bool {
        let Some(service) = self.config.services.get(&call.service) else {
            return false;
        };
        let bounds = &self.policy.bounds;
        let bound = Table::cold_bound(service, bounds.cold_factor, bounds.cold_slack);
        self.table.admits_cold(worker, now, bound)
    }

    /// Takes the best offer, waits for a better one, or gives up.
    fn settle(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let may_wait = self.may_wait(now, &call);
        match call.offer {
            Some(offer) if offer.expected <= call.left(now) || !may_wait => {
                self.send(now, id, offer);
            }
            _ if call.search == Search::Hedge => self.stop_hedge(now, id),
            _ if may_wait => self.pause(now, id),
            Some(offer) => self.send(now, id, offer),
            None => self.give_up(now, id),
        }
    }

    /// Whether the objective can still be met after another pause.
    fn may_wait(&mut self, now: Time, call: &Call) -> bool {
        let usual = self.work(call).usual();
        call.left(now) > usual.scale(WAIT_MARGIN) + self.policy.pause
    }

    /// Ends the search for a second worker for now; it begins anew a little later.
    fn stop_hedge(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.search = Search::Idle;
        call.hedged = false;
        call.asked.clear();
        let offer = call.offer.take();
        self.timers.push(Reverse((now + HEDGE_PAUSE, id)));
        if let Some(offer) = offer {
            self.release(offer.link);
        }
    }

    fn pause(&mut self, now: Time, id: CallId) {
        let jitter = 0.5 + self.rng.f64();
        let span = self.policy.pause.scale(jitter);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.asked.clear();
        call.pause = Some(now + span);
        call.waited = true;
        let offer = call.offer.take();
        self.timers.push(Reverse((now + span, id)));
        self.note(now, id, Step::Waits(span));
        if let Some(offer) = offer {
            self.release(offer.link);
        }
    }

    fn send(&mut self, now: Time, id: CallId, offer: Offer) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.offer = None;
        call.asked.clear();
        let left = call.deadline.since(now);
        let repeat = call.sent > 0;
        let hedge = call.search == Search::Hedge;
        let part = if hedge { self.policy.hedge_part } else { 1.0 };
        let service = call.service.clone();
        let before = call.sent;
        let members = self.table.members();
        let permitted =
            left >= MIN_LEFT && (!repeat || self.retry_share(&service).take(now, members, part));
        if !permitted {
            self.release(offer.link);
            if hedge {
                self.stop_hedge(now, id);
            } else {
                self.give_up(now, id);
            }
            return;
        }
        let step = Step::Sent {
            before,
            cold: offer.cold,
            expected: offer.expected,
            load: offer.load,
            worker: offer.worker,
        };
        self.note(now, id, step);
        self.table.sent(offer.worker, now);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.sent += 1;
        call.search = Search::Idle;
        call.tried.push(offer.worker);
        call.attempts.push(Attempt {
            at: now,
            expected: offer.expected,
            link: offer.link,
            load: offer.load,
            worker: offer.worker,
        });
        self.actions.push(Action::Send(id, offer.link, left));
        self.plan_hedge(now, id, offer.expected);
    }

    /// Sets the moment at which the request is sent again, should it still be at work: late enough
    /// that the worker is slower than expected, early enough that another can make the objective.
    fn plan_hedge(&mut self, now: Time, id: CallId, expected: Span) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        if !call.idempotent() || call.hedged || !call.may_send() {
            return;
        }
        let typical = self.work(&call).usual();
        let latest = (call.began + call.route.objective).back(typical.scale(HEDGE_MARGIN));
        let at = latest.max(now + expected.scale(HEDGE_AFTER));
        if at < call.deadline {
            self.timers.push(Reverse((at, id)));
        }
    }

    fn answered(&mut self, now: Time, link: LinkId, told: Told) {
        let Some(id) = self.links.get(&link).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(at) = call
            .attempts
            .iter()
            .position(|attempt| attempt.link == link)
        else {
            return;
        };
        let attempt = call.attempts.swap_remove(at);
        let step = Step::Answered {
            answer: told.answer,
            worker: attempt.worker,
        };
        self.learn(now, id, &attempt, told);
        self.note(now, id, step);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match told.answer {
            Answer::Served => self.finish(id, Action::Forward(id, link)),
            Answer::Failed => {
                call.ran = true;
                if call.idempotent() {
                    let old = call.fallback.replace(link);
                    if let Some(old) = old {
                        self.drop_link(old);
                    }
                    self.again(now, id);
                } else {
                    self.finish(id, Action::Forward(id, link));
                }
            }
            Answer::Lost | Answer::Spoiled => {
                call.ran = true;
                self.links.remove(&link);
                if self.calls.get(&id).is_some_and(Call::idempotent) {
                    self.again(now, id);
                } else {
                    self.give_up(now, id);
                }
            }
            Answer::Misdirected | Answer::NotRun | Answer::Unsent => {
                self.links.remove(&link);
                self.again(now, id);
            }
        }
    }

    fn learn(&mut self, now: Time, id: CallId, attempt: &Attempt, told: Told) {
        let took = now.since(attempt.at);
        let outcome = match told.answer {
            Answer::Served => Outcome::Served(took),
            Answer::Failed | Answer::Lost | Answer::Spoiled => Outcome::Failed,
            Answer::Misdirected | Answer::NotRun | Answer::Unsent => Outcome::NotRun,
        };
        if told.answer == Answer::Misdirected {
            self.table.misdirected(attempt.worker, now);
        }
        if told.answer == Answer::Lost || told.answer == Answer::Unsent {
            self.table.strike(attempt.worker, now);
        }
        self.table
            .ended(attempt.worker, now, outcome, attempt.expected);
        if let Some(load) = told.load {
            self.table.load(attempt.worker, now, load);
        }
        if told.answer == Answer::Served
            && let Some(call) = self.calls.get(&id).cloned()
        {
            self.work(&call).add(attempt.load, took);
        }
    }

    /// Looks for another worker after one failed, where that is allowed.
    fn again(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if !call.may_send() {
            self.give_up(now, id);
            return;
        }
        match call.search {
            Search::Hedge => call.search = Search::First,
            Search::First => {}
            Search::Idle if call.attempts.is_empty() => {
                call.search = Search::First;
                self.search(now, id);
            }
            Search::Idle => {}
        }
    }

    /// Ends the request with what is known of it, unless a worker is still at it.
    fn give_up(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.search = Search::Idle;
        if !call.attempts.is_empty() {
            return;
        }
        if let Some(link) = call.fallback {
            self.finish(id, Action::Forward(id, link));
            return;
        }
        let refusal = if call.ran {
            Refusal::Lost
        } else if call.sent > 0 {
            // A worker refused it though it had room; others may not.
            Refusal::NotRun(COME_BACK_SOON)
        } else {
            Refusal::NotRun(call.route.objective.scale(COME_BACK))
        };
        self.refuse(now, id, refusal);
    }

    fn refuse(&mut self, now: Time, id: CallId, refusal: Refusal) {
        self.note(now, id, Step::Refused(refusal));
        self.finish(id, Action::Refuse(id, refusal));
    }

    /// Ends the request: `last` is its answer; everything else that is under way is closed.
    fn finish(&mut self, id: CallId, last: Action) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let kept = match &last {
            Action::Forward(_, link) => Some(*link),
            _ => None,
        };
        self.actions.push(last);
        if let Some(link) = kept {
            self.links.remove(&link);
        }
        self.abandon(&call, kept);
    }

    /// Closes what is under way for a request that ended.
    fn abandon(&mut self, call: &Call, kept: Option<LinkId>) {
        for attempt in &call.attempts {
            self.table
                .ended(attempt.worker, Time::ZERO, Outcome::Cancelled, Span::ZERO);
            self.drop_link(attempt.link);
        }
        if let Some(ask) = &call.ask {
            self.drop_link(ask.link);
        }
        if let Some(offer) = &call.offer {
            self.release(offer.link);
        }
        if let Some(link) = call.fallback.filter(|link| Some(*link) != kept) {
            self.drop_link(link);
        }
    }

    fn gone(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            self.abandon(&call, None);
        }
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
            self.actions.push(Action::Abandon(ask.link));
            self.table.strike(ask.worker, now);
            self.passed(now, id, ask.worker, Some(AskFailure::Late), None);
            self.search(now, id);
            return;
        }
        if call.pause.take_if(|until| now >= *until).is_some() {
            self.search(now, id);
            return;
        }
        self.hedge(now, id);
    }

    fn hedge(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let slow = |attempt: &Attempt| now.since(attempt.at) >= attempt.expected.scale(HEDGE_AFTER);
        let due = call.search == Search::Idle
            && !call.hedged
            && call.idempotent()
            && call.may_send()
            && !call.attempts.is_empty()
            && call.attempts.iter().all(slow);
        if due {
            call.hedged = true;
            call.search = Search::Hedge;
            self.search(now, id);
        }
    }

    fn overdue(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.attempts.is_empty() {
            self.give_up(now, id);
            return;
        }
        let workers: Vec<Key> = call.attempts.iter().map(|attempt| attempt.worker).collect();
        for attempt in std::mem::take(&mut call.attempts) {
            self.table
                .ended(attempt.worker, now, Outcome::Failed, attempt.expected);
            self.drop_link(attempt.link);
        }
        for worker in workers {
            let step = Step::Answered {
                answer: Answer::Lost,
                worker,
            };
            self.note(now, id, step);
        }
        match self.calls.get(&id).and_then(|call| call.fallback) {
            Some(link) => self.finish(id, Action::Forward(id, link)),
            None => self.refuse(now, id, Refusal::Timeout),
        }
    }

    fn release(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.actions.push(Action::Release(link));
    }

    fn drop_link(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.actions.push(Action::Close(link));
    }

    fn passed(
        &mut self,
        now: Time,
        id: CallId,
        worker: Key,
        failure: Option<AskFailure>,
        load: Option<Load>,
    ) {
        let step = Step::Passed {
            failure,
            load,
            worker,
        };
        self.note(now, id, step);
    }

    fn note(&mut self, now: Time, call: CallId, step: Step) {
        let began = self.calls.get(&call).map_or(now, |call| call.began);
        self.notes.push(Note {
            call,
            elapsed: now.since(began),
            step,
        });
    }
}
