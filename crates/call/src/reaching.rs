//! Whether this daemon reaches the workers of each service.

use {
    crate::dispatcher::Dispatcher,
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
    pub(crate) fn note_reached(&mut self, worker: WorkerKey) {
        let Some(record) = self.table.get(worker) else {
            return;
        };
        let service = record.worker.service.clone();
        let Some(reach) = self.reaches.get_mut(&service) else {
            return;
        };
        if reach.record_reached() {
            self.reach_changes.push(ReachChange {
                cut: false,
                service,
            });
        }
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
            self.reach_changes.push(ReachChange { cut: true, service });
        }
    }
}
