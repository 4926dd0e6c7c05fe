//! Records of workers whose entries are gone or tell of a new process run.

use {
    crate::WorkerRecord,
    limit::MAX_COUNTED,
    site::Worker,
    unit::{Map, Name, Span, Time},
};

/// How long it is remembered what a worker that is gone had asked; not shorter than the longest
/// delay that a worker may ask for.
const ASKED_LIFE: Span = Span::secs(3_600);

/// A record that was dropped.
#[derive(Clone, Debug)]
struct Dropped {
    at: Time,
    record: WorkerRecord,
}

impl Dropped {
    fn is_needed(&self, now: Time) -> bool {
        let record = &self.record;
        let asked = record.said_leaving || record.retry_at > self.at;
        now.since(self.at) < if asked { ASKED_LIFE } else { MAX_COUNTED }
    }
}

/// The dropped records by worker id, those of one worker in the order in which they were dropped.
///
/// A worker may be sent requests before its new entry arrives, and its entry may go and come back. So
/// what counts towards a limit in a window of time, and what a process run asked, doesn't end with
/// the record.
#[derive(Clone, Debug, Default)]
pub(crate) struct DroppedRecords(Map<Name, Vec<Dropped>>);

impl DroppedRecords {
    /// Keeps a record that is dropped now.
    pub(crate) fn keep(&mut self, record: WorkerRecord, now: Time) {
        let runs = self.0.entry(record.worker.id.clone()).or_default();
        runs.retain(|dropped| dropped.record.worker.started_ms != record.worker.started_ms);
        runs.push(Dropped { at: now, record });
    }

    /// The record of the same process run as in an entry, which comes back.
    pub(crate) fn take(&mut self, worker: &Worker) -> Option<WorkerRecord> {
        let runs = self.0.get_mut(&worker.id)?;
        let index = runs
            .iter()
            .position(|dropped| dropped.record.is_run_of(worker))?;
        Some(runs.remove(index).record)
    }

    /// The record of the process run of a worker that was dropped last.
    pub(crate) fn latest(&self, id: &str) -> Option<&WorkerRecord> {
        let last = self.0.get(id)?.last()?;
        Some(&last.record)
    }

    /// Forgets the records that are needed no longer.
    pub(crate) fn prune(&mut self, now: Time) {
        self.0.retain(|_, runs| {
            runs.retain(|dropped| dropped.is_needed(now));
            !runs.is_empty()
        });
    }
}
