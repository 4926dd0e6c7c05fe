//! What is recorded about workers: their responses, their failures, and what they ask of their callers.

use {
    crate::{AttemptOutcome, LimitNews, NoticeSource, WorkerKey, WorkerTable},
    fastrand::Rng,
    site::{HealthReport, LoadReport, Notice},
    unit::{Span, Time},
};

/// How old what is told to other daemons of a worker's limit may be.
const NEWS_LIFE: Span = Span::secs(10);

impl WorkerTable {
    /// Records a response of a worker's health endpoint.
    pub fn record_health(&mut self, key: WorkerKey, now: Time, health: &HealthReport) {
        if let Some(record) = self.records.get_mut(&key) {
            record.record_health(now, health);
        }
    }

    /// Records what a worker asks of its callers in a response, and returns whether that is new.
    /// `drain` is the longest time for which a leaving worker may get requests.
    pub fn record_notice(
        &mut self,
        key: WorkerKey,
        now: Time,
        drain: Span,
        source: NoticeSource,
        notice: Notice,
    ) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        let changed = record.record_notice(now, drain, source, notice);
        if changed {
            self.divide_limit(key);
        }
        changed
    }

    /// What to tell other daemons of the limits that workers name: at most `max` workers, at random.
    pub fn limit_news(&self, now: Time, max: usize, rng: &mut Rng) -> Vec<LimitNews> {
        let records = self.records.values();
        let news = records.filter_map(|record| record.limit_news(now, NEWS_LIFE));
        let mut news: Vec<LimitNews> = news.collect();
        rng.shuffle(&mut news);
        news.truncate(max);
        news
    }

    /// The worker with this hash of its process run, by which daemons tell each other of it.
    pub fn key_of_run(&self, run: u32) -> Option<WorkerKey> {
        let mut records = self.records.iter();
        let (key, _) = records.find(|(_, record)| record.run_hash == run)?;
        Some(*key)
    }

    /// Adopts what another daemon was told of a worker's limit, if that is newer. Returns the worker
    /// if its limit changes.
    pub fn adopt_limit(&mut self, now: Time, news: LimitNews) -> Option<WorkerKey> {
        let key = self.key_of_run(news.run)?;
        let record = self.records.get_mut(&key)?;
        if !record.adopt_limit(now, news) {
            return None;
        }
        self.divide_limit(key);
        Some(key)
    }

    /// Records the load that a worker reported with its response to a request.
    pub fn record_load(&mut self, key: WorkerKey, now: Time, load: LoadReport) {
        if let Some(record) = self.records.get_mut(&key) {
            record.load = Some((load, now));
        }
    }

    /// Records that a worker could not be reached or its health endpoint did not respond.
    pub fn record_unreachable(&mut self, key: WorkerKey, now: Time) {
        if let Some(record) = self.records.get_mut(&key) {
            record.record_unreachable(now);
        }
    }

    /// Records that another worker responds at a worker's address. This counts as four failures in
    /// a row, which gives a backoff of at least 2 s.
    pub fn record_misdirected(&mut self, key: WorkerKey, now: Time) {
        if let Some(record) = self.records.get_mut(&key) {
            for _ in 0..4 {
                record.record_unreachable(now);
            }
        }
    }

    /// Ends the backoffs of a service's workers, since they didn't fail by themselves.
    pub fn end_backoffs(&mut self, service: &str) {
        let keys = self.services.get(service).map(Vec::as_slice);
        for key in keys.unwrap_or_default() {
            if let Some(record) = self.records.get_mut(key) {
                record.end_backoff();
            }
        }
    }

    /// Records a request sent to a worker. `permit` says whether it has a permit for a cold worker,
    /// which was already counted when it was taken.
    pub fn record_sent(&mut self, key: WorkerKey, now: Time, permit: bool) {
        if let Some(record) = self.records.get_mut(&key) {
            record.in_flight += 1;
            record.used = true;
            record.request_budget.record(now);
            if !permit {
                record.cold_budget.record(now);
            }
            if let Some((load, _)) = &mut record.load {
                load.running += 1;
            }
        }
    }

    /// Records how an attempt ended whose expected latency was `expected`.
    pub fn record_outcome(
        &mut self,
        key: WorkerKey,
        now: Time,
        outcome: AttemptOutcome,
        expected: Span,
    ) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        record.in_flight = record.in_flight.saturating_sub(1);
        if let Some((load, _)) = &mut record.load {
            load.running = load.running.saturating_sub(1);
        }
        match outcome {
            AttemptOutcome::Failed => record.record_failure(now),
            AttemptOutcome::Served(latency) => {
                let expected = expected.max(Span::millis(1));
                let factor = latency.as_secs() / expected.as_secs() * record.slowness(now).max(1.0);
                record.record_slowness(now, factor);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotRun => {}
        }
    }
}
