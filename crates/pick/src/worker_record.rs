use {
    crate::{
        LatencyEstimate, LimitNews, NoticeSource, latency_estimate::SLOW_PERCENT,
        named_limit::NamedLimit, rejection::Rejection,
    },
    limit::{ColdStartBudget, Placement, ProbeBudget, RequestBudget},
    rollout::Lane,
    site::{HealthReport, LoadReport, Notice, Worker, WorkerState},
    unit::{Rate, Span, Time},
};

/// The backoff after a failed connection or a missing response; doubled with each further failure
/// in a row. A worker in backoff is [`Standing::Suspect`].
const BASE_BACKOFF: Span = Span::millis(250);
const MAX_BACKOFF: Span = Span::secs(4);
/// The most times that the backoff is doubled.
const MAX_BACKOFF_EXPONENT: u32 = 4;
/// The time in seconds in which the failure penalty halves.
const PENALTY_HALF_LIFE_SECONDS: f64 = 2.0;
/// The failure penalty from which on a worker is [`Standing::Suspect`]; each failed request adds 1.
const SUSPECT_PENALTY: f64 = 1.7;
/// How long a worker may still be used, where no other worker is left, after this daemon learned
/// that it drains.
const DRAIN_GRACE: Span = Span::millis(300);
/// The fraction of the drain time for which a worker may still be used, where no other worker is
/// left, after it said that it leaves; requests that run then must end before it does.
const SAID_LEAVING_FRACTION: f64 = 0.5;
/// The weight of one sample in the moving average of a worker's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// The time in seconds in which a worker's slowness decays halfway to 1, on a logarithmic scale.
const SLOWNESS_HALF_LIFE_SECONDS: f64 = 3.0;
/// Samples of the slowness are clamped to the range from this value's inverse to the value.
const MAX_SLOWNESS: f64 = 20.0;
/// The fraction of busy slots above which many workers slow down.
const HIGH_UTILISATION: f64 = 0.8;
/// The factor on the expected latency above [`HIGH_UTILISATION`].
const HIGH_UTILISATION_FACTOR: f64 = 1.5;

/// Whether requests may be sent to a worker. The variants are ordered from the most to the least
/// preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It may be used.
    Usable,
    /// It reports itself unhealthy or failed recently; it ranks behind the usable workers.
    Suspect,
    /// It is draining or its entry is gone; it is used only where no other worker is left.
    Leaving,
    /// It must not be sent any requests: its data centre is evacuated, its version gets none, or the
    /// time for which it may be used while leaving is over.
    Barred,
}

/// What a daemon knows of one process run of a worker.
#[derive(Clone, Debug)]
pub struct WorkerRecord {
    /// When its health endpoint last responded.
    probed_at: Option<Time>,
    /// Requests for which a permit without a probe was granted since then.
    unprobed: u32,
    /// When a response of its health endpoint last told how long it stays cold.
    cold_told_at: Option<Time>,
    /// When its cold start ends.
    pub(crate) cold_until: Time,
    /// This daemon's share of the requests that the worker may get while cold.
    pub(crate) cold_budget: ColdStartBudget,
    /// The number of failed requests, decayed by half-life, as of `penalty_at`.
    failure_penalty: f64,
    penalty_at: Time,
    /// Whether its entry is gone.
    pub(crate) removed: bool,
    /// Requests of this daemon in flight at the worker.
    pub(crate) in_flight: u32,
    /// Which requests it may get, by its version.
    pub(crate) lane: Lane,
    /// Until when it may be used although it is leaving; `None` if it is not leaving.
    pub(crate) leaving_until: Option<Time>,
    /// Its last reported load, with `running` adjusted for what this daemon sent since, and when
    /// the report came.
    pub(crate) load: Option<(LoadReport, Time)>,
    /// The limit that it names.
    pub(crate) named_limit: NamedLimit,
    /// This daemon's share of the health probes that the worker may get.
    pub(crate) probe_budget: ProbeBudget,
    /// The requests that this daemon sends it, within its share of the limit that it names.
    pub(crate) request_budget: RequestBudget,
    /// The requests that it rejected although its load showed a free slot.
    pub(crate) rejection: Rejection,
    /// Until when it wants nothing from this daemon.
    pub(crate) retry_at: Time,
    /// Whether it has said in a response that it leaves. Nothing that its entry says undoes that.
    pub(crate) said_leaving: bool,
    /// The hash of its process run, by which daemons tell each other of it.
    pub(crate) run_hash: u32,
    /// Whether one of its responses held a value that can't be read.
    unreadable: bool,
    /// Whether its health endpoint last reported it unhealthy.
    pub(crate) unhealthy: bool,
    /// The moving average, on a logarithmic scale, of the ratio of the actual latency to the one
    /// that its load implies; as of `slowness_at`.
    slowness: f64,
    slowness_at: Time,
    /// How many times the next backoff is doubled.
    backoff_exponent: u32,
    backoff_until: Time,
    /// Whether this daemon has sent it a request.
    pub(crate) used: bool,
    /// The entry that it registered.
    pub worker: Worker,
}

impl WorkerRecord {
    /// The record of a worker that became known at `now` to a process that began at `started`.
    pub(crate) fn new(worker: Worker, started: Time, now: Time) -> Self {
        Self {
            probed_at: None,
            unprobed: 0,
            cold_told_at: None,
            cold_until: now + worker.cold_remaining,
            cold_budget: ColdStartBudget::default(),
            failure_penalty: 0.0,
            penalty_at: now,
            removed: false,
            in_flight: 0,
            lane: Lane::Open,
            leaving_until: None,
            load: None,
            named_limit: NamedLimit::default(),
            probe_budget: ProbeBudget::new(now),
            request_budget: RequestBudget::new(started),
            rejection: Rejection::default(),
            retry_at: Time::ZERO,
            said_leaving: false,
            run_hash: LimitNews::run_hash(&worker.id, worker.started_ms),
            unreadable: false,
            unhealthy: false,
            slowness: 1.0,
            slowness_at: now,
            backoff_exponent: 0,
            backoff_until: Time::ZERO,
            used: false,
            worker,
        }
    }

    /// Takes over from the worker's record before this one what was sent within this daemon's shares
    /// of the fleet's limits, since some of that may have reached the process that this record is of;
    /// and what the worker asked, if it hasn't started again since.
    pub(crate) fn inherit(&mut self, old: &Self) {
        self.cold_budget = old.cold_budget.clone();
        self.probe_budget = old.probe_budget.clone();
        self.request_budget = old.request_budget.for_new_run();
        self.confirm_limit();
        if self.worker.started_ms == old.worker.started_ms {
            self.said_leaving |= old.said_leaving;
            self.retry_at = self.retry_at.max(old.retry_at);
        }
    }

    /// Whether an entry is of the process run that this record is of.
    pub(crate) fn is_run_of(&self, worker: &Worker) -> bool {
        self.worker.started_ms == worker.started_ms
            && self.worker.service == worker.service
            && self.worker.address == worker.address
    }

    /// Takes up the record again when the worker's entry comes back. When the worker began to leave
    /// isn't known then.
    pub(crate) fn resume(&mut self, worker: Worker, now: Time) {
        self.leaving_until = None;
        self.in_flight = 0;
        self.update(worker, now);
    }

    /// Updates the worker's entry. This may extend its cold start but never shortens it.
    pub(crate) fn update(&mut self, worker: Worker, now: Time) {
        self.cold_until = self.cold_until.max(now + worker.cold_remaining);
        self.removed = false;
        match (worker.state, self.leaving_until) {
            (WorkerState::Draining, _) => self.leave_by(now + DRAIN_GRACE),
            (WorkerState::Ready, Some(_)) if !self.said_leaving => self.leaving_until = None,
            (WorkerState::Ready, _) => {}
        }
        self.worker = worker;
    }

    /// Which requests it may get, by its version.
    pub const fn lane(&self) -> Lane {
        self.lane
    }

    /// Whether it may be used; `evacuated` says whether its data centre is evacuated.
    pub fn standing(&self, now: Time, evacuated: bool) -> Standing {
        if evacuated || self.lane == Lane::Held {
            return Standing::Barred;
        }
        match self.leaving_until {
            Some(until) if now >= until => return Standing::Barred,
            Some(_) => return Standing::Leaving,
            None => {}
        }
        if self.unhealthy
            || now < self.backoff_until
            || self.failure_penalty(now) >= SUSPECT_PENALTY
        {
            return Standing::Suspect;
        }
        Standing::Usable
    }

    /// Whether its health endpoint responded within the last `span`.
    pub(crate) fn probed_within(&self, now: Time, span: Span) -> bool {
        self.probed_at.is_some_and(|at| now.since(at) < span)
    }

    /// Takes a permit to send it a request without a probe. Granted if it is warm, it told that less
    /// than `max_age` ago, and fewer than `max_requests` permits were granted since.
    pub(crate) fn take_unprobed_permit(
        &mut self,
        now: Time,
        max_age: Span,
        max_requests: u32,
    ) -> bool {
        let granted = !self.may_be_cold(now, max_age) && self.unprobed < max_requests;
        self.unprobed += u32::from(granted);
        granted
    }

    /// Whether it is cold, or hasn't told within the last `max_age` that it is warm: it may become
    /// cold at any moment.
    pub fn may_be_cold(&self, now: Time, max_age: Span) -> bool {
        let told = self.cold_told_at.is_some_and(|at| now.since(at) < max_age);
        !told || self.is_cold(now)
    }

    /// Whether it is still in its cold start, as far as this daemon knows.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// The requests per second that it takes from all daemons together; `None` if it names no limit.
    pub fn rate_limit(&self) -> Option<Rate> {
        self.named_limit.rate()
    }

    /// Adopts what another daemon was told of its limit, if that is newer, and returns whether it
    /// changes the limit.
    pub(crate) fn adopt_limit(&mut self, now: Time, news: LimitNews) -> bool {
        let changed = self
            .named_limit
            .adopt(now.saturating_sub(news.age), news.rate);
        self.confirm_limit();
        changed
    }

    /// What to tell other daemons of its limit; `None` if that isn't younger than `max_age`.
    pub(crate) fn limit_news(&self, now: Time, max_age: Span) -> Option<LimitNews> {
        let age = now.since(self.named_limit.said_at()?);
        (age < max_age).then(|| LimitNews {
            age,
            rate: self.named_limit.rate(),
            run: self.run_hash,
        })
    }

    /// Notes in the budget when it last named its limit.
    fn confirm_limit(&mut self) {
        if let Some(said_at) = self.named_limit.said_at() {
            self.request_budget.confirm(said_at);
        }
    }

    /// Lets it be used until `until` at the latest.
    pub(crate) fn leave_by(&mut self, until: Time) {
        let sooner = self.leaving_until.map_or(until, |known| known.min(until));
        self.leaving_until = Some(sooner);
    }

    /// The hash of its process run, by which daemons tell each other of it.
    pub fn run_hash(&self) -> u32 {
        self.run_hash
    }

    /// How much longer it wants nothing from this daemon.
    pub fn retry_left(&self, now: Time) -> Span {
        self.retry_at.since(now)
    }

    /// Whether it has said in a response that it leaves.
    pub fn said_leaving(&self) -> bool {
        self.said_leaving
    }

    /// Whether a request of this daemon may reach it now, by what it says of itself.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.retry_at <= now && self.request_budget.next_opening(now) <= now
    }

    /// When some daemon may likely send it the next request, by what it says of itself.
    pub(crate) fn fleet_opening(&self, now: Time) -> Time {
        self.retry_at.max(self.request_budget.fleet_opening(now))
    }

    /// Sets this daemon's share of the limit that it names, if any.
    pub(crate) fn divide_limit(&mut self, placement: Placement) {
        self.request_budget
            .set_limit(self.named_limit.rate(), placement);
    }

    /// Its last known load and how long ago it was reported.
    pub fn load(&self, now: Time) -> Option<(LoadReport, Span)> {
        self.load.map(|(load, at)| (load, now.since(at)))
    }

    /// The latency expected of a request sent now: the estimate for its load, scaled by its
    /// slowness, by a factor for high slot utilisation, and by the queue ahead of the request.
    pub fn expected_latency(&self, now: Time, estimate: &LatencyEstimate) -> Span {
        let slowness = self.slowness(now).max(1.0);
        let Some((load, _)) = self.load else {
            return estimate.baseline().scale(slowness);
        };
        let slots = f64::from(load.slots.max(1));
        let busy = f64::from(load.running) + 1.0;
        let utilisation_factor = if busy / slots > HIGH_UTILISATION {
            HIGH_UTILISATION_FACTOR
        } else {
            1.0
        };
        let queued = (f64::from(load.running + load.waiting) + 1.0 - slots).max(0.0);
        let base = estimate.for_load(Some(load));
        base.scale(slowness * utilisation_factor * (1.0 + queued / slots))
    }

    /// How many times slower it is than its load implies; decays towards 1 between samples.
    pub fn slowness(&self, now: Time) -> f64 {
        if self.slowness == 1.0 {
            return 1.0;
        }
        let age = now.since(self.slowness_at).as_secs();
        self.slowness
            .powf(0.5_f64.powf(age / SLOWNESS_HALF_LIFE_SECONDS))
    }

    /// Whether it is in backoff because it could not be reached.
    pub(crate) fn in_backoff(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// Whether a load report within the last `span` shows it slow or without a free slot.
    pub(crate) fn busy_within(&self, now: Time, span: Span) -> bool {
        self.load(now).is_some_and(|(load, age)| {
            let full = load.running + load.waiting >= load.slots;
            age < span && (full || load.latency_percent >= SLOW_PERCENT)
        })
    }

    /// Records a response of its health endpoint, which also ends its backoff.
    pub(crate) fn record_health(&mut self, now: Time, health: &HealthReport) {
        self.probed_at = Some(now);
        self.end_backoff();
        self.unhealthy = !health.healthy;
        if let Some(cold) = health.cold_remaining {
            self.cold_until = now + cold;
            self.cold_told_at = Some(now);
            self.unprobed = 0;
        }
        if let Some(load) = health.load {
            self.load = Some((load, now));
        }
    }

    /// Records what it asks of its callers in a response, and returns whether that is new. Only the
    /// first value that can't be read is.
    pub(crate) fn record_notice(
        &mut self,
        now: Time,
        drain: Span,
        source: NoticeSource,
        notice: Notice,
    ) -> bool {
        if let Some(retry_after) = notice.retry_after {
            self.retry_at = self.retry_at.max(now + retry_after);
        }
        let begins_to_leave = notice.leaving && !self.said_leaving;
        if begins_to_leave {
            self.said_leaving = true;
            self.leave_by(now + drain.scale(SAID_LEAVING_FRACTION));
        }
        let first_unreadable = notice.unreadable && !self.unreadable;
        self.unreadable |= notice.unreadable;
        let limit_changed = self.named_limit.record(now, source, notice.rate_limit);
        self.confirm_limit();
        limit_changed || first_unreadable || begins_to_leave || notice.retry_after.is_some()
    }

    /// Starts a backoff; each one in a row is twice as long as the one before, up to the maximum.
    pub(crate) fn record_unreachable(&mut self, now: Time) {
        let span = (BASE_BACKOFF * (1 << self.backoff_exponent)).min(MAX_BACKOFF);
        self.backoff_until = now + span;
        self.backoff_exponent = (self.backoff_exponent + 1).min(MAX_BACKOFF_EXPONENT);
    }

    pub(crate) fn end_backoff(&mut self) {
        self.backoff_exponent = 0;
        self.backoff_until = Time::ZERO;
    }

    pub(crate) fn record_failure(&mut self, now: Time) {
        self.failure_penalty = self.failure_penalty(now) + 1.0;
        self.penalty_at = now;
    }

    /// Records a sample of the slowness: a request took `factor` times as long as the load implies.
    pub(crate) fn record_slowness(&mut self, now: Time, factor: f64) {
        let old = self.slowness(now).ln();
        let new = factor.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS).ln();
        self.slowness = (old + (new - old) * SLOWNESS_WEIGHT).exp();
        self.slowness_at = now;
    }

    /// The failure penalty, decayed to `now`.
    fn failure_penalty(&self, now: Time) -> f64 {
        if self.failure_penalty == 0.0 {
            return 0.0;
        }
        let age = now.since(self.penalty_at).as_secs();
        self.failure_penalty * 0.5_f64.powf(age / PENALTY_HALF_LIFE_SECONDS)
    }
}
