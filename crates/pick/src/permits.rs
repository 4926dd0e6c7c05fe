//! This daemon's shares of what workers may get from the whole fleet.

use {
    crate::{WorkerKey, WorkerRecord, WorkerTable},
    limit::{COLD_START_WINDOW, LOCAL_FRACTION},
    site::Service,
    unit::{Name, Span, Time},
};

impl WorkerTable {
    /// Replaces the other registered daemons, each with its data centre.
    pub fn set_members<'a>(
        &mut self,
        others: impl ExactSizeIterator<Item = (&'a Name, &'a Name)> + Clone,
    ) {
        if !self.fleet.replace(others) {
            return;
        }
        let limited = self.records.iter();
        let limited = limited.filter(|(_, record)| record.rate_limit().is_some());
        let keys: Vec<WorkerKey> = limited.map(|(key, _)| *key).collect();
        for key in keys {
            self.divide_limit(key);
        }
    }

    /// The number of registered daemons, including this one.
    pub fn member_count(&self) -> usize {
        self.fleet.count()
    }

    /// Lets this daemon use its shares of the fleet's limits from `at` on, or not at all for `None`:
    /// those of cold workers, of workers that name a limit, and of extra retries. It must not start
    /// before it knows all daemons that share these limits, and all of them count it. It doesn't
    /// start either before what the process run before this one sent to cold workers is out of
    /// their windows.
    pub fn allow_shares_from(&mut self, at: Option<Time>) {
        let earliest = self.started + COLD_START_WINDOW;
        self.shares_from = at.map(|at| at.max(earliest));
    }

    /// When this process run began.
    pub const fn started(&self) -> Time {
        self.started
    }

    /// The number of daemons that share the fleet's limits; `None` while this one must not use its
    /// shares.
    pub fn sharers(&self, now: Time) -> Option<usize> {
        self.has_shares(now).then(|| self.fleet.count())
    }

    /// Takes a permit for a health probe of a worker, where `fleet_limit` is the number of probes
    /// per second that the worker may get from all daemons together.
    pub fn take_probe_permit(&mut self, key: WorkerKey, now: Time, fleet_limit: f64) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        let home = &record.worker.centre;
        let local = self.fleet.count_in(home);
        let (fraction, sharers) = if *home == self.centre {
            (LOCAL_FRACTION, local)
        } else {
            (1.0 - LOCAL_FRACTION, self.fleet.count() - local)
        };
        let rate = fleet_limit * fraction / sharers.max(1) as f64;
        record.probe_budget.take_permit(now, rate)
    }

    /// Takes a permit to send a request to a worker without a probe. Granted if the worker is warm,
    /// its last probe is younger than `max_age`, and fewer than `max_requests` permits were granted
    /// since that probe.
    pub fn take_unprobed_permit(
        &mut self,
        key: WorkerKey,
        now: Time,
        max_age: Span,
        max_requests: u32,
    ) -> bool {
        self.records
            .get_mut(&key)
            .is_some_and(|record| record.take_unprobed_permit(now, max_age, max_requests))
    }

    /// Takes a permit for one request to a worker that is cold or may be, where `fleet_limit` is
    /// the number of requests per second that the worker may get from all daemons together.
    pub fn take_cold_permit(&mut self, key: WorkerKey, now: Time, fleet_limit: f64) -> bool {
        if !self.has_shares(now) {
            return false;
        }
        let Some(record) = self.records.get(&key) else {
            return false;
        };
        let position = self.fleet.position(&record.worker.id);
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        let granted = record.cold_budget.admits(now, fleet_limit, position);
        if granted {
            record.cold_budget.record(now);
        }
        granted
    }

    /// Returns a permit for a cold worker that was taken at the time `taken` and not used.
    pub fn return_cold_permit(&mut self, key: WorkerKey, taken: Time) {
        if let Some(record) = self.records.get_mut(&key) {
            record.cold_budget.remove(taken);
        }
    }

    /// The number of requests per second that a cold worker of `service` may get from the whole
    /// fleet.
    pub fn cold_rate_limit(service: &Service, factor: f64, slack: f64) -> f64 {
        service.cold_start.rate * factor + slack
    }

    /// Whether a request of this daemon may reach a worker now, by what the worker says of itself.
    pub(crate) fn is_open(&self, record: &WorkerRecord, now: Time) -> bool {
        record.is_open(now) && (self.has_shares(now) || record.rate_limit().is_none())
    }

    /// Sets this daemon's share of the limit that a worker names, if it does.
    pub(crate) fn divide_limit(&mut self, key: WorkerKey) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let placement = self.fleet.placement(&record.worker);
        if let Some(record) = self.records.get_mut(&key) {
            record.divide_limit(placement);
        }
    }

    /// Whether this daemon may use its shares of the fleet's limits.
    fn has_shares(&self, now: Time) -> bool {
        self.shares_from.is_some_and(|at| now >= at)
    }
}
