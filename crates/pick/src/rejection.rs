//! Outlier ejection: workers that reject requests although their load reports show a free slot are
//! demoted, and tried again by one request at a time. What requests show takes precedence over
//! health probes.

use {
    crate::{Standing, WorkerKey, WorkerRecord, WorkerTable},
    derive_more::Display,
    fastrand::Rng,
    limit::Placement,
    unit::{Span, Time},
};

/// How long a worker is demoted after one rejection; doubled with each further one in a row.
const BASE_DEMOTION: Span = Span::millis(50);
/// The number of rejections in a row from which on the demotion isn't doubled any more.
const MAX_STREAK: u8 = 6;
/// The number of rejections in a row from which on a worker ranks behind the others. Where all
/// workers reject four of ten requests at random, demotion after a single one took more capacity
/// away than it saved rejections.
const DEMOTED_STREAK: u8 = 2;
/// The number of rejections in a row from which on a demoted worker is left out. At four of ten, 26
/// of 1,000 requests are the fourth in a row to be rejected.
const LEFT_OUT_STREAK: u8 = 4;
/// The longest time for which a daemon leaves trials of a worker to others, beyond the demotion.
const MAX_TURN_WAIT: Span = Span::secs(4);
/// How old what is told to other daemons of a worker's rejections may be.
const NEWS_LIFE: Span = Span::secs(5);

/// How this daemon learned that a worker rejects requests, or accepts them again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RejectionSource {
    /// From a request that it sent.
    #[display("own")]
    Own,
    /// From another daemon.
    #[display("peer")]
    Peer,
}

/// What a daemon knows of a worker's rejections, to pass on to other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionNews {
    /// The time since the request ended that showed it.
    pub age: Span,
    /// The hash of the worker's process run; see [`LimitNews::run_hash`](crate::LimitNews::run_hash).
    pub run: u32,
    /// The number of rejections in a row; 0 if it accepts requests again.
    pub streak: u8,
}

/// The rejections of one process run of a worker that its load doesn't explain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rejection {
    /// When the request ended that last rejected, or accepted after a rejection; `None` if it has
    /// not rejected any.
    seen_at: Option<Time>,
    /// When the first rejection of those in a row was seen.
    since: Time,
    /// The number of rejections in a row.
    streak: u8,
    /// From when on one request at a time tries the worker again.
    trial_at: Time,
}

impl Rejection {
    /// Records a rejection of a request that was sent at `sent_at`. Requests that were in flight
    /// together count once.
    fn reject(&mut self, now: Time, sent_at: Time, placement: Placement) {
        if self.seen_at.is_none_or(|seen_at| sent_at >= seen_at) {
            let streak = self.streak.saturating_add(1).min(MAX_STREAK);
            self.set(now, streak, placement);
        }
    }

    /// Records that the worker ran a request that was sent at `sent_at`. That was accepted long
    /// before it ended, so it counts also against rejections that were seen in between.
    fn accept(&mut self, now: Time, sent_at: Time) {
        if self.streak > 0 && sent_at >= self.since {
            self.seen_at = Some(now);
            self.streak = 0;
        }
    }

    /// Adopts what another daemon saw at the time `seen_at`, if that is newer.
    fn adopt(&mut self, seen_at: Time, streak: u8, placement: Placement) {
        if self.seen_at.is_none_or(|known| seen_at > known) {
            self.set(seen_at, streak.min(MAX_STREAK), placement);
        }
    }

    /// Sets the streak and the time of the next trial. The daemons take turns, those of the worker's
    /// data centre first, so that few requests are rejected; who tries it tells the others.
    fn set(&mut self, seen_at: Time, streak: u8, placement: Placement) {
        let Placement {
            is_local,
            local,
            rank,
            ..
        } = placement;
        let turn = if is_local { rank } else { local + rank };
        let doublings = u32::from(streak.saturating_sub(1));
        let span = BASE_DEMOTION * (1 << doublings);
        if self.streak == 0 {
            self.since = seen_at;
        }
        self.seen_at = Some(seen_at);
        self.streak = streak;
        let wait = (span * (1 + turn as u64)).min(span + MAX_TURN_WAIT);
        self.trial_at = seen_at + wait;
    }

    /// Whether the worker ranks behind others: it rejected several requests in a row, and isn't tried
    /// again yet or a request is in flight at it.
    fn is_demoted(&self, now: Time, in_flight: u32) -> bool {
        self.streak >= DEMOTED_STREAK && (now < self.trial_at || in_flight > 0)
    }

    fn news(&self, now: Time, run: u32) -> Option<RejectionNews> {
        let age = now.since(self.seen_at?);
        (age < NEWS_LIFE).then_some(RejectionNews {
            age,
            run,
            streak: self.streak,
        })
    }
}

impl WorkerRecord {
    /// The number of requests in a row that it rejected although its load showed a free slot, with
    /// none in between that it ran.
    pub fn rejections(&self) -> u8 {
        self.rejection.streak
    }

    /// Whether it has rejected so many that it is left out between trials.
    pub const fn rejects(&self) -> bool {
        self.rejection.streak >= LEFT_OUT_STREAK
    }

    /// Whether it ranks behind others for its rejections.
    pub(crate) fn is_demoted(&self, now: Time) -> bool {
        self.rejection.is_demoted(now, self.in_flight)
    }

    /// Whether it is left out for its rejections, as long as enough other workers are there.
    pub(crate) fn is_left_out(&self, now: Time) -> bool {
        self.rejects() && self.is_demoted(now)
    }
}

impl WorkerTable {
    /// Records that a worker rejected a request, sent at `sent_at`, although its load showed a free
    /// slot. Returns whether it is left out from now on and wasn't before.
    pub fn record_rejected(&mut self, key: WorkerKey, now: Time, sent_at: Time) -> bool {
        self.change_rejection(key, |rejection, placement| {
            rejection.reject(now, sent_at, placement);
        })
    }

    /// Records that a worker ran a request that was sent at `sent_at`. Returns whether it isn't left
    /// out any more.
    pub fn record_accepted(&mut self, key: WorkerKey, now: Time, sent_at: Time) -> bool {
        // The common case, without a look at the fleet.
        let record = self.records.get(&key);
        if record.is_none_or(|record| record.rejection.streak == 0) {
            return false;
        }
        self.change_rejection(key, |rejection, _| rejection.accept(now, sent_at))
    }

    /// Adopts what another daemon saw of a worker's rejections, if that is newer. Returns the worker
    /// if it is left out from now on, or isn't any more.
    pub fn adopt_rejection(&mut self, now: Time, news: RejectionNews) -> Option<WorkerKey> {
        let key = self.key_of_run(news.run)?;
        let seen_at = now.saturating_sub(news.age);
        let changed = self.change_rejection(key, |rejection, placement| {
            rejection.adopt(seen_at, news.streak, placement);
        });
        changed.then_some(key)
    }

    /// What to tell other daemons of workers that reject requests, or do so no more: at most `max`
    /// workers, at random.
    pub fn rejection_news(&self, now: Time, max: usize, rng: &mut Rng) -> Vec<RejectionNews> {
        let records = self.records.values();
        let news = records.filter_map(|record| record.rejection.news(now, record.run_hash));
        let mut news: Vec<RejectionNews> = news.collect();
        rng.shuffle(&mut news);
        news.truncate(max);
        news
    }

    /// Whether a worker is left out now for its rejections. Never are more than half of a service's
    /// usable workers.
    pub(crate) fn is_left_out(&self, key: WorkerKey, now: Time) -> bool {
        let record = self.records.get(&key);
        let Some(record) = record.filter(|record| record.is_left_out(now)) else {
            return false;
        };
        self.may_leave_out(&record.worker.service, now)
    }

    /// Whether at least half of a service's usable workers aren't to be left out.
    pub(crate) fn may_leave_out(&self, service: &str, now: Time) -> bool {
        let (mut usable, mut left_out) = (0, 0);
        for key in self.services.get(service).into_iter().flatten() {
            if self.standing(*key, now) != Standing::Usable {
                continue;
            }
            let record = self.records.get(key);
            usable += 1;
            left_out += usize::from(record.is_some_and(|record| record.is_left_out(now)));
        }
        left_out * 2 <= usable
    }

    /// Changes what is known of a worker's rejections; returns whether this changes whether it is
    /// one to be left out.
    fn change_rejection(
        &mut self,
        key: WorkerKey,
        change: impl FnOnce(&mut Rejection, Placement),
    ) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        let placement = self.fleet.placement(&record.worker);
        let before = record.rejects();
        change(&mut record.rejection, placement);
        record.rejects() != before
    }
}
