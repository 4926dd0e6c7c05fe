//! Whether this daemon reaches the workers of a service.

use {
    pick::WorkerKey,
    unit::{Set, Span, Time},
};

/// Of a service with more workers than this, so many must fail in a row.
const MIN_FAILED: usize = 3;
/// The most workers that must fail in a row, however many a service has.
const MAX_FAILED: usize = 8;
/// For how long no worker must have been reached.
const MIN_SILENCE: Span = Span::millis(300);

/// What one daemon knows of its links to all workers of a service together.
///
/// It is *cut off* once several workers have failed one after the other and none was reached
/// meanwhile; one worker that fails says nothing of the others.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    cut: bool,
    /// The workers that failed since one was reached last.
    failed: Set<WorkerKey>,
    /// When the first of them failed; without meaning if there are none.
    failed_since: Time,
}

impl Reach {
    /// Whether this daemon is cut off from the workers.
    pub fn is_cut(&self) -> bool {
        self.cut
    }

    /// Records that a worker responded. Returns whether the daemon was cut off until now.
    pub fn record_reached(&mut self) -> bool {
        self.failed.clear();
        std::mem::take(&mut self.cut)
    }

    /// Records that a worker couldn't be reached or didn't respond in time; `workers` counts those of
    /// the service that may be sent requests. Returns whether the daemon is cut off from now on.
    pub fn record_failed(
        &mut self,
        now: Time,
        worker: WorkerKey,
        workers: impl Fn() -> usize,
    ) -> bool {
        if self.failed.is_empty() {
            self.failed_since = now;
        }
        self.failed.insert(worker);
        if self.cut || now.since(self.failed_since) < MIN_SILENCE {
            return false;
        }
        let workers = workers();
        let needed = workers.div_ceil(2).clamp(MIN_FAILED, MAX_FAILED);
        self.cut = self.failed.len() >= needed.min(workers);
        self.cut
    }
}
