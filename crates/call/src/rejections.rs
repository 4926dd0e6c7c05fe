//! Workers that reject requests although their load shows a free slot.

use {
    crate::{AttemptEnding, AttemptReport, call::Attempt, dispatcher::Dispatcher},
    pick::{RejectionNews, RejectionSource, WorkerKey, WorkerRecord},
    site::{LoadReport, Notice},
    unit::Time,
};

/// A worker is left out from now on because it rejects requests, or isn't any more; for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionChange {
    /// Whether it is left out from now on.
    pub left_out: bool,
    /// How this daemon learned of it.
    pub source: RejectionSource,
    /// The worker.
    pub worker: WorkerKey,
}

impl Dispatcher {
    /// Takes the changes since the last call, for the log.
    pub fn take_rejection_changes(&mut self) -> Vec<RejectionChange> {
        std::mem::take(&mut self.rejection_changes)
    }

    /// What to tell other daemons of workers that reject requests; at most `max` workers.
    pub fn rejection_news(&mut self, now: Time, max: usize) -> Vec<RejectionNews> {
        self.table.rejection_news(now, max, &mut self.rng)
    }

    /// Adopts what another daemon saw of a worker's rejections.
    pub fn adopt_rejection(&mut self, now: Time, news: RejectionNews) {
        if let Some(worker) = self.table.adopt_rejection(now, news) {
            self.note_rejection_change(worker, RejectionSource::Peer);
        }
    }

    /// Records whether a worker ran a request or rejected it without a reason that it gave.
    pub(crate) fn update_rejections(
        &mut self,
        now: Time,
        attempt: &Attempt,
        report: &AttemptReport,
    ) {
        let Attempt {
            sent_at, worker, ..
        } = *attempt;
        let changed = match report.ending {
            AttemptEnding::Served | AttemptEnding::Failed => {
                self.table.record_accepted(worker, now, sent_at)
            }
            AttemptEnding::NotRun if is_unexplained(attempt, report) => {
                self.table.record_rejected(worker, now, sent_at)
            }
            _ => false,
        };
        if changed {
            self.note_rejection_change(worker, RejectionSource::Own);
        }
    }

    fn note_rejection_change(&mut self, worker: WorkerKey, source: RejectionSource) {
        let record = self.table.get(worker);
        self.rejection_changes.push(RejectionChange {
            left_out: record.is_some_and(WorkerRecord::rejects),
            source,
            worker,
        });
    }
}

/// Whether a worker gave no reason for a rejection: its response asked for nothing, and the load that
/// it reported with it, or else before, shows a free slot.
fn is_unexplained(attempt: &Attempt, report: &AttemptReport) -> bool {
    let asks_nothing = |notice: Notice| {
        !notice.leaving && notice.rate_limit.is_none() && notice.retry_after.is_none()
    };
    let free = |load: LoadReport| load.running + load.waiting < load.slots;
    report.load.or(attempt.load).is_some_and(free) && report.notice.is_some_and(asks_nothing)
}
