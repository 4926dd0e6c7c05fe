//! One rollout as one daemon sees it.

use {
    crate::{
        Evidence, Exposure, Finding, FleetReports, Outcome, Params, Pending, Report, RolloutNews,
        Side, Timetable, Verdict, history::History, slow_bound::SlowBound, verdict::excess_bad,
    },
    fastrand::Rng,
    site::RolloutState,
    unit::{Map, Name, Span, Time, digest},
};

/// The bad responses of the target version, in the whole fleet, at which daemons stop by themselves.
/// The limit is 50; the difference is for those that are in flight or not reported yet.
const BAD_BOUND: f64 = 38.0;
/// How much earlier than the limit a daemon stops whose knowledge is old. A watcher finds within
/// 1.3 s that the store no longer responds to it.
const STALE_MARGIN: Span = Span::millis(1_500);
/// For how long what was last found out about the fleet holds. It is found out at each tick, five
/// times a second; a process that was paused sends nothing to the target version before that.
const CONDITIONS_LIFE: Span = Span::millis(1_000);
/// How long after the shift the decider waits for daemons that aren't alive.
const ABSENT_WAIT: Span = Span::secs(4);
/// The pause between two attempts to write the state.
const WRITE_PAUSE: Span = Span::millis(700);
/// The part of the requests with which the shift begins.
const FIRST_FRACTION: f64 = 0.1;

/// What a daemon knows of its fleet at a tick.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// The daemons that are alive, including this one.
    pub alive: usize,
    /// The registered daemons, including this one.
    pub registered: usize,
    /// The time since this daemon's knowledge of rollouts was last known to be current.
    pub staleness: Span,
}

/// How far a rollout has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All requests go to the target version, as was written to the store.
    Completed,
    /// The target version gets its share.
    Exposing,
    /// No request goes to the target version, as was written to the store.
    RolledBack,
    /// The version was found to be good; its part grows to all requests.
    Shifting,
}

/// What the decider is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Tell the fleet that the traffic shifts.
    Shift,
    /// Write a state to the store.
    Write(RolloutState, Option<Finding>),
}

/// A rollout of a service.
#[derive(Clone, Debug)]
pub struct Rollout {
    conditions: Option<(Time, Conditions)>,
    excess: f64,
    exposure: Exposure,
    history: History,
    object: site::Rollout,
    own: Evidence,
    params: Params,
    reports: FleetReports,
    sequence: u32,
    settled: bool,
    /// When the traffic began to shift.
    shifting: Option<Time>,
    slow_bounds: Map<u16, SlowBound>,
    /// When the object was written, as far as is known.
    started: Time,
    /// The state that the store has; a store that came back from an older copy may lack a verdict.
    stored: Option<RolloutState>,
    sum: Evidence,
    timetable: Timetable,
    /// What the last report of this daemon said.
    told: Option<(bool, Evidence)>,
    /// When the state was last written, or tried to be.
    written: Option<Time>,
}

impl Rollout {
    /// A rollout whose object has become known.
    pub fn new(object: site::Rollout, params: Params, now: Time, rng: &mut Rng) -> Self {
        Self {
            conditions: None,
            excess: 0.0,
            exposure: Exposure::new(params.share, rng),
            history: History::default(),
            own: Evidence::default(),
            params,
            reports: FleetReports::default(),
            sequence: 0,
            settled: false,
            shifting: None,
            slow_bounds: Map::default(),
            started: now,
            stored: object.state,
            sum: Evidence::default(),
            timetable: Timetable::new(object.duration),
            told: None,
            written: None,
            object,
        }
    }

    /// The rollout's object.
    pub const fn object(&self) -> &site::Rollout {
        &self.object
    }

    /// Takes the object's present content, which is that of the same rollout. A verdict is final.
    pub fn update(&mut self, object: site::Rollout) {
        self.stored = object.state;
        if !self.object.is_decided() {
            self.timetable = Timetable::new(object.duration);
            self.object = object;
        }
    }

    /// The hash by which daemons tell each other of the rollout.
    pub fn id(&self) -> u32 {
        let rollout = &self.object;
        let text = format!(
            "{}\n{}\n{}",
            rollout.service, rollout.target, rollout.created
        );
        hash(&text)
    }

    /// How far it has come.
    pub const fn phase(&self) -> Phase {
        match (self.object.state, self.shifting) {
            (Some(RolloutState::Completed), _) => Phase::Completed,
            (Some(RolloutState::RolledBack), _) => Phase::RolledBack,
            (_, Some(_)) => Phase::Shifting,
            (_, None) => Phase::Exposing,
        }
    }

    /// The time since the object was written.
    pub fn elapsed(&self, now: Time) -> Span {
        now.since(self.started)
    }

    /// The sum of all daemons' counts, as of the last tick.
    pub const fn evidence(&self) -> &Evidence {
        &self.sum
    }

    /// This daemon's requests to the service and sends to the target version.
    pub const fn exposure(&self) -> (u64, u64) {
        self.exposure.counts()
    }

    /// Notes what is known of the fleet, and adds up the daemons' counts. `old_in_flight` are this
    /// daemon's requests at workers of other versions than the target.
    pub fn tick(&mut self, now: Time, conditions: Conditions, old_in_flight: u32) {
        self.conditions = Some((now, conditions));
        self.settled = self.is_shifted(now) && old_in_flight == 0;
        self.sum = self.reports.sum();
        self.excess = excess_bad(&self.sum);
        self.history.record(now, &self.sum);
    }

    /// Whether this daemon may send nothing to the target version for now: the fleet has seen too
    /// many bad responses, or a verdict might not reach this daemon in time. The bound is divided by
    /// the part of the fleet that this daemon hears, so that it holds in sum for parts of the fleet
    /// that don't reach each other.
    pub fn is_halted(&self, now: Time) -> bool {
        let Some((at, conditions)) = self.conditions else {
            return true;
        };
        let Conditions {
            alive,
            registered,
            staleness,
        } = conditions;
        let limit = self.params.rollback.saturating_sub(STALE_MARGIN);
        let informed = staleness + now.since(at) <= limit || alive * 2 > registered;
        let heard = alive as f64 / registered.max(alive).max(1) as f64;
        now.since(at) > CONDITIONS_LIFE || !informed || self.excess + 1.0 > BAD_BOUND * heard
    }

    /// Whether all requests go to the target version.
    pub fn is_shifted(&self, now: Time) -> bool {
        self.phase() == Phase::Shifting && self.fraction(now) >= 1.0 && !self.is_halted(now)
    }

    /// Counts a request to the service that is sent to a worker for the first time.
    pub fn record_request(&mut self) {
        self.exposure.record_request();
    }

    /// Counts a send to the target version.
    pub const fn record_exposed(&mut self) {
        self.exposure.record_exposed();
    }

    /// Whether a request is one of those chosen for the target version. Once all requests go to it,
    /// none is chosen.
    pub fn draw(&self, now: Time, rng: &mut Rng) -> bool {
        match self.phase() {
            Phase::Completed | Phase::RolledBack => false,
            _ if self.is_halted(now) => false,
            Phase::Exposing => self.in_time(now) && self.exposure.draw(rng),
            Phase::Shifting => !self.is_shifted(now) && rng.f64() < self.fraction(now),
        }
    }

    /// Whether a request that was drawn may still be sent to the target version.
    pub fn admits(&self, now: Time) -> bool {
        match self.phase() {
            Phase::Completed => true,
            Phase::RolledBack => false,
            _ if self.is_halted(now) => false,
            Phase::Exposing => self.in_time(now) && self.exposure.admits(),
            Phase::Shifting => true,
        }
    }

    /// Records how a request ended that a worker may have run.
    pub fn record_end(&mut self, route: &str, side: Side, took: Span, failed: bool) {
        let route = route_hash(route);
        let bound = self.slow_bounds.entry(route).or_default();
        let outcome = match (failed, bound.is_slow(took)) {
            (true, _) => Outcome::Failed,
            (false, Some(true)) => Outcome::Slow,
            (false, Some(false)) => Outcome::Served,
            (false, None) => Outcome::Untimed,
        };
        if side == Side::Old && !failed {
            bound.record(took);
        }
        self.own.record(route, side, outcome);
    }

    /// Records that a request was given up before its response. It counts only if it had taken too
    /// long by then.
    pub fn record_cancelled(&mut self, route: &str, side: Side, took: Span) {
        let route = route_hash(route);
        let slow = self.slow_bounds.get(&route);
        if slow.is_some_and(|bound| bound.is_slow(took) == Some(true)) {
            self.own.record(route, side, Outcome::Slow);
        }
    }

    /// Makes this daemon's own report, for itself and the others.
    pub fn report(&mut self, now: Time, daemon: u32, incarnation: u32) {
        let report = Report {
            counts: self.own.clone(),
            daemon,
            incarnation,
            sequence: self.sequence + 1,
            settled: self.settled,
        };
        if self.told.as_ref() != Some(&(self.settled, self.own.clone())) {
            self.told = Some((self.settled, self.own.clone()));
            self.sequence += 1;
            self.reports.adopt(now, report);
        }
    }

    /// What to tell another daemon, with at most `max` reports.
    pub fn news(&mut self, now: Time, max: usize) -> RolloutNews {
        let millis = |span: Span| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let medians = self.slow_bounds.iter().filter_map(|(route, bound)| {
            let micros = u32::try_from(bound.median()?.as_micros()).ok()?;
            Some((*route, micros))
        });
        RolloutNews {
            medians: medians.collect(),
            elapsed_ms: millis(self.elapsed(now)),
            id: self.id(),
            reports: self.reports.select(max),
            shifting_ms: self.shifting.map(|at| millis(now.since(at))),
        }
    }

    /// Takes what another daemon tells of this rollout.
    pub fn adopt(&mut self, now: Time, news: RolloutNews) {
        let ago = |millis: u32| now.saturating_sub(Span::millis(u64::from(millis)));
        self.started = self.started.min(ago(news.elapsed_ms));
        if let Some(shifting) = news.shifting_ms.map(ago) {
            // The time that a message takes makes the beginning look later than it was.
            self.shifting = Some(self.shifting.map_or(shifting, |known| known.min(shifting)));
        }
        for (route, micros) in news.medians {
            let bound = self.slow_bounds.entry(route).or_default();
            bound.adopt(Span::micros(u64::from(micros)));
        }
        for report in news.reports {
            self.reports.adopt(now, report);
        }
    }

    /// What the decider is to do now. `alive` are the hashes of the names of all daemons that are
    /// alive; `present` says whether there is a worker of the target version.
    pub fn decide(&mut self, now: Time, alive: &[u32], present: bool) -> Option<Order> {
        if self.object.is_decided() {
            let verdict = self
                .object
                .state
                .filter(|state| self.stored != Some(*state));
            return verdict.and_then(|state| self.write(now, state, None));
        }
        if self.object.state.is_none() {
            return self.write(now, RolloutState::Running, None);
        }
        if !present {
            return None;
        }
        if let Some(finding) = self.find_bad(now) {
            return self.write(now, RolloutState::RolledBack, Some(finding));
        }
        if self.excess + 1.0 > BAD_BOUND || self.elapsed(now) >= self.timetable.close {
            return self.write(now, RolloutState::RolledBack, None);
        }
        match self.phase() {
            Phase::Exposing => {
                let due = self.elapsed(now) >= self.timetable.observe;
                if !due || self.verdict(now) != Verdict::Good {
                    return None;
                }
                self.shifting = Some(now);
                Some(Order::Shift)
            }
            Phase::Shifting if self.is_confirmed(now, alive) => {
                self.write(now, RolloutState::Completed, None)
            }
            _ => None,
        }
    }

    /// What the fleet's counts show so far.
    pub fn verdict(&self, now: Time) -> Verdict {
        if let Some(finding) = self.find_bad(now) {
            return Verdict::Bad(finding);
        }
        let recent = self.history.windows(now, &self.sum);
        let suspicious = |window: &Evidence| {
            Verdict::of(window, true) == Verdict::Undecided(Pending::Suspicious)
        };
        if recent.iter().any(suspicious) {
            return Verdict::Undecided(Pending::Suspicious);
        }
        Verdict::of(&self.sum, self.elapsed(now) >= self.timetable.late)
    }

    fn find_bad(&self, now: Time) -> Option<Finding> {
        let windows = self.history.windows(now, &self.sum);
        windows
            .iter()
            .chain([&self.sum])
            .find_map(|window| Verdict::find_bad(window, &self.sum))
    }

    /// Whether all daemons that are alive have told that they send nothing to the old version. Of
    /// the others none is known to, so these get some time.
    fn is_confirmed(&self, now: Time, alive: &[u32]) -> bool {
        let Some((_, conditions)) = self.conditions else {
            return false;
        };
        let settled = |daemon: &u32| {
            let latest = self.reports.latest(*daemon);
            latest.is_some_and(|(_, report)| report.settled)
        };
        let ramp = self.timetable.ramp;
        let shifted = self.shifting.map_or(Span::ZERO, |at| now.since(at));
        let all_alive = conditions.alive >= conditions.registered;
        alive.iter().all(settled) && (all_alive || shifted >= ramp + ABSENT_WAIT)
    }

    /// Orders a write, unless one was ordered just now.
    fn write(&mut self, now: Time, state: RolloutState, finding: Option<Finding>) -> Option<Order> {
        let recent = self.written.is_some_and(|at| now.since(at) < WRITE_PAUSE);
        if recent {
            return None;
        }
        self.written = Some(now);
        Some(Order::Write(state, finding))
    }

    /// Whether the target version may be exposed: a verdict can still be written.
    fn in_time(&self, now: Time) -> bool {
        self.elapsed(now) < self.timetable.close
    }

    /// The part of the requests that goes to the target version in the shift.
    fn fraction(&self, now: Time) -> f64 {
        let Some(began) = self.shifting else {
            return 0.0;
        };
        let done = now.since(began).as_secs() / self.timetable.ramp.as_secs().max(0.001);
        FIRST_FRACTION + (1.0 - FIRST_FRACTION) * done.min(1.0)
    }

    /// The service whose traffic moves.
    pub const fn service(&self) -> &Name {
        &self.object.service
    }
}

/// The hash by which daemons tell each other of a route. Two routes with the same hash, which is
/// unlikely, are judged as one.
fn route_hash(route: &str) -> u16 {
    hash(route) as u16
}

/// The hash by which daemons tell each other of names.
pub fn hash(text: &str) -> u32 {
    // Half of it is dropped to keep messages small.
    digest([text.as_bytes()]) as u32
}
