//! Whether this daemon reaches the workers of each service.

use {
    crate::dispatcher::Dispatcher,
    forward::service_hash,
    pick::WorkerKey,
    unit::{Name, Time},
};

/// The daemon was cut off from all workers of a service, or reaches one again; for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachChange {
    /// Whether it is cut off from now on.
    pub cut: bool,
    /// The service.
    pub service: Name,
}

impl Dispatcher {
    /// Whether this daemon is cut off from all workers of a service.
    pub fn is_cut(&self, service: &str) -> bool {
        let reach = self.reaches.get(service);
        reach.is_some_and(forward::Reach::is_cut)
    }

    /// Takes the changes since the last call, for the log.
    pub fn take_reach_changes(&mut self) -> Vec<ReachChange> {
        std::mem::take(&mut self.reach_changes)
    }

    /// Notes that a worker responded, in whatever way.
    pub(crate) fn note_reached(&mut self, now: Time, worker: WorkerKey) {
        self.confirm_crashes(now, worker);
        let Some(record) = self.table.get(worker) else {
            return;
        };
        if let Some(reach) = self.reaches.get_mut(&record.worker.service) {
            reach.record_reached();
        }
    }

    /// Notes that a worker answered a trial: the daemon isn't cut off any more.
    pub(crate) fn note_trial(&mut self, now: Time, service: Name) {
        let reach = self.reaches.get_mut(&service);
        if reach.is_some_and(|reach| reach.record_trial(now)) {
            // They failed for the links, not by themselves.
            self.table.end_backoffs(&service);
            self.reach_changes.push(ReachChange {
                cut: false,
                service,
            });
        }
    }

    /// The hashes of the services that this daemon is cut off from, at most `max`.
    pub fn unreached(&self, max: usize) -> Vec<u32> {
        let cut = self.reaches.iter().filter(|(_, reach)| reach.is_cut());
        cut.map(|(service, _)| service_hash(service))
            .take(max)
            .collect()
    }

    /// Notes that a worker couldn't be reached, or didn't respond in time.
    pub(crate) fn note_failed(&mut self, now: Time, worker: WorkerKey) {
        let Some(record) = self.table.get(worker) else {
            return;
        };
        let service = record.worker.service.clone();
        let reach = self.reaches.entry(service.clone()).or_default();
        let workers = || self.table.sendable(&service, now).len();
        if reach.record_failed(now, worker, workers) {
            self.drop_suspicions(&service);
            self.reach_changes.push(ReachChange { cut: true, service });
        }
    }
}
