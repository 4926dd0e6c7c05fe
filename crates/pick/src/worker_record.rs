use {
    crate::{LatencyEstimate, latency_estimate::SLOW_PACE},
    limit::{ColdStartBudget, ProbeBudget},
    site::{Health, Load, State, Worker},
    unit::{Span, Time},
};

/// How long a worker whose connection or answer failed is asked last; doubled with each further
/// failure in a row.
const SUSPECT: Span = Span::millis(250);
const MAX_SUSPECT: Span = Span::secs(4);
const MAX_STRIKES: u32 = 4;
/// The time in which the weight of a failed request halves.
const FAIL_HALF_LIFE: f64 = 2.0;
/// The weight of failed requests from which on a worker is asked last.
const FAIL_LIMIT: f64 = 1.7;
/// How long a worker that is leaving may still be used where no other is left.
const DRAIN_GRACE: Span = Span::millis(300);
/// How much one sample moves the estimate of a worker's own slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// The time in which a worker's own slowness is half forgotten.
const SLOWNESS_HALF_LIFE: f64 = 3.0;
const MAX_SLOWNESS: f64 = 20.0;
/// The busy part of the slots above which many workers slow down, and by how much.
const CROWDED: f64 = 0.8;
const CROWDED_FACTOR: f64 = 1.5;

/// Whether a worker may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It may be used.
    Usable,
    /// It failed lately and is asked after the others.
    Suspect,
    /// It leaves and is used only where no other worker is left.
    Leaving,
    /// It must get nothing.
    Barred,
}

/// What a daemon believes of one life of one worker.
#[derive(Clone, Debug)]
pub struct WorkerRecord {
    /// When its health endpoint last answered.
    asked: Option<Time>,
    /// Requests that had leave to go there unasked since then.
    unasked: u32,
    /// Until when it is cold.
    pub(crate) cold: Time,
    /// This daemon's share of what it may get while cold.
    pub(crate) cold_share: ColdStartBudget,
    fails: f64,
    fails_at: Time,
    /// Whether its entry is gone.
    pub(crate) gone: bool,
    /// Requests of this daemon's that it works on.
    pub(crate) inflight: u32,
    /// Until when it may be used though it leaves; `None` while it stays.
    pub(crate) leaves: Option<Time>,
    /// Its last load and when that was told.
    pub(crate) load: Option<(Load, Time)>,
    /// This daemon's share of its health requests.
    pub(crate) probe_share: ProbeBudget,
    /// Whether its health endpoint calls it ill.
    pub(crate) sick: bool,
    /// Times as slow as its load lets expect.
    slowness: f64,
    slowness_at: Time,
    strikes: u32,
    suspect: Time,
    /// Whether this daemon has sent it a request.
    pub(crate) used: bool,
    /// Its entry.
    pub worker: Worker,
}

impl WorkerRecord {
    pub(crate) fn new(worker: Worker, now: Time) -> Self {
        Self {
            asked: None,
            unasked: 0,
            cold: now + worker.cold,
            cold_share: ColdStartBudget::default(),
            fails: 0.0,
            fails_at: now,
            gone: false,
            inflight: 0,
            leaves: None,
            load: None,
            probe_share: ProbeBudget::new(now),
            sick: false,
            slowness: 1.0,
            slowness_at: now,
            strikes: 0,
            suspect: Time::ZERO,
            used: false,
            worker,
        }
    }

    pub(crate) fn update(&mut self, worker: Worker, now: Time) {
        self.cold = self.cold.max(now + worker.cold);
        self.gone = false;
        match (worker.state, self.leaves) {
            (State::Draining, None) => self.leaves = Some(now + DRAIN_GRACE),
            (State::Ready, Some(_)) => self.leaves = None,
            _ => {}
        }
        self.worker = worker;
    }

    /// Whether it may be used; `evacuated` tells that its data centre is to get nothing.
    pub fn standing(&self, now: Time, evacuated: bool) -> Standing {
        if evacuated {
            return Standing::Barred;
        }
        match self.leaves {
            Some(until) if now >= until => return Standing::Barred,
            Some(_) => return Standing::Leaving,
            None => {}
        }
        if self.sick || now < self.suspect || self.fails(now) >= FAIL_LIMIT {
            return Standing::Suspect;
        }
        Standing::Usable
    }

    /// Whether its health endpoint answered within the last `span`.
    pub(crate) fn asked_within(&self, now: Time, span: Span) -> bool {
        self.asked.is_some_and(|at| now.since(at) < span)
    }

    /// Takes leave to send it a request without asking: where it was warm within the last `span`,
    /// and no more than `most` others had this leave since.
    pub(crate) fn take_unasked(&mut self, now: Time, span: Span, most: u32) -> bool {
        let heard = self.asked.is_some_and(|at| now.since(at) < span);
        let granted = heard && !self.is_cold(now) && self.unasked < most;
        self.unasked += u32::from(granted);
        granted
    }

    /// Whether it is cold, as far as is known.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold
    }

    /// Its last load and how old that is.
    pub fn load(&self, now: Time) -> Option<(Load, Span)> {
        self.load.map(|(load, at)| (load, now.since(at)))
    }

    /// The time after which an answer is expected.
    pub fn expected_latency(&self, now: Time, work: &LatencyEstimate) -> Span {
        let own = self.slowness(now).max(1.0);
        let Some((load, _)) = self.load else {
            return work.baseline().scale(own);
        };
        let slots = f64::from(load.slots.max(1));
        let busy = f64::from(load.running) + 1.0;
        let crowded = if busy / slots > CROWDED {
            CROWDED_FACTOR
        } else {
            1.0
        };
        let behind = (f64::from(load.running + load.waiting) + 1.0 - slots).max(0.0);
        let base = work.for_load(Some(load));
        base.scale(own * crowded * (1.0 + behind / slots))
    }

    /// Times as slow as its load lets expect.
    pub fn slowness(&self, now: Time) -> f64 {
        let age = now.since(self.slowness_at).as_secs();
        self.slowness.powf(0.5_f64.powf(age / SLOWNESS_HALF_LIFE))
    }

    /// Whether it could not be reached lately.
    pub(crate) fn unreachable(&self, now: Time) -> bool {
        now < self.suspect
    }

    /// Whether it was found slow or full within the last `span`.
    pub(crate) fn bad_news(&self, now: Time, span: Span) -> bool {
        self.load(now).is_some_and(|(load, age)| {
            let full = load.running + load.waiting >= load.slots;
            age < span && (full || load.pace >= SLOW_PACE)
        })
    }

    pub(crate) fn healthy(&mut self, now: Time, health: &Health) {
        self.asked = Some(now);
        self.unasked = 0;
        self.strikes = 0;
        self.suspect = Time::ZERO;
        self.sick = !health.healthy;
        self.cold = now + health.cold;
        if let Some(load) = health.load {
            self.load = Some((load, now));
        }
    }

    pub(crate) fn strike(&mut self, now: Time) {
        let span = (SUSPECT * (1 << self.strikes)).min(MAX_SUSPECT);
        self.suspect = now + span;
        self.strikes = (self.strikes + 1).min(MAX_STRIKES);
    }

    pub(crate) fn failed(&mut self, now: Time) {
        self.fails = self.fails(now) + 1.0;
        self.fails_at = now;
    }

    /// Takes in that work took `factor` times as long as expected.
    pub(crate) fn took(&mut self, now: Time, factor: f64) {
        let old = self.slowness(now).ln();
        let new = factor.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS).ln();
        self.slowness = (old + (new - old) * SLOWNESS_WEIGHT).exp();
        self.slowness_at = now;
    }

    fn fails(&self, now: Time) -> f64 {
        let age = now.since(self.fails_at).as_secs();
        self.fails * 0.5_f64.powf(age / FAIL_HALF_LIFE)
    }
}
