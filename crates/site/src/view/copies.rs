//! What a view holds against an older copy from which the store came back.

use {
    super::{Effect, View},
    crate::{Departure, ObjectState, Rev, Versioned, Worker},
    unit::{Name, Span, Time},
};

/// How long an evacuation or its end, or a worker's removal, that was known before the store came
/// back from an older copy, holds against that copy. Operators and workers write again in that time
/// what was lost.
const SETTLE_TIME: Span = Span::secs(3);

/// What an older copy of the store says about the evacuation of a data centre, against what was
/// known before.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unsettled {
    /// When the copy's state takes effect, unless the operator writes before.
    pub(super) due: Time,
    /// Whether the data centre is evacuated in the copy.
    pub(super) evacuated: bool,
    pub(super) rev: Rev,
}

/// A worker's entry in an older copy of the store, of a worker that had left.
#[derive(Clone, Debug)]
pub(super) struct UnsettledWorker {
    /// When the entry takes effect, unless it is removed again before.
    pub(super) due: Time,
    pub(super) entry: Versioned<Worker>,
}

impl View {
    /// Gives effect to what a copy of the store says, once it has stood for [`SETTLE_TIME`].
    pub fn settle(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.settle_evacuations(now, &mut effects);
        let due = self.unsettled_workers.iter();
        let due = due.filter(|(_, unsettled)| unsettled.due <= now);
        let ids: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        for id in ids {
            if let Some(UnsettledWorker { entry, .. }) = self.unsettled_workers.remove(&id) {
                self.apply_worker(entry.value, entry.rev, &mut effects);
            }
        }
        effects
    }

    fn settle_evacuations(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let due = self.unsettled.iter().filter(|(_, entry)| entry.due <= now);
        let names: Vec<Name> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            let Some(entry) = self.unsettled.remove(&name) else {
                continue;
            };
            if entry.evacuated {
                self.begin_evacuation(name, entry.rev, effects);
            } else {
                self.end_evacuation(name, entry.rev, effects);
            }
        }
    }

    /// Whether an item of a full list is an evacuation that ended, or a worker that left, before the
    /// store came back from an older copy. It then has no effect yet.
    pub(super) fn holds_against(&mut self, item: &Versioned<ObjectState>, now: Time) -> bool {
        match &item.value {
            ObjectState::Evacuated(name) => {
                let ended = self.returned.get(name);
                let copied = ended.is_some_and(|ended| ended.era < item.rev.era);
                if copied {
                    self.hold_against(name.clone(), true, item.rev, now);
                }
                copied
            }
            ObjectState::Worker(worker) => {
                let copied = self.has_left(worker, item.rev);
                if copied {
                    let unsettled = UnsettledWorker {
                        due: now + SETTLE_TIME,
                        entry: Versioned {
                            rev: item.rev,
                            value: worker.clone(),
                        },
                    };
                    let known = self.unsettled_workers.entry(worker.id.clone());
                    known.or_insert(unsettled);
                }
                copied
            }
            _ => false,
        }
    }

    /// Whether a worker left in an earlier era than that of `rev`, and its entry there is one from
    /// before that.
    fn has_left(&self, worker: &Worker, rev: Rev) -> bool {
        let tombstone = self.tombstones.get(&worker.id);
        let left = tombstone.is_some_and(|tombstone| {
            tombstone.departure == Departure::Left && tombstone.rev.era < rev.era
        });
        let last = self.departed.get(&worker.id);
        left && last.is_some_and(|departed| {
            let last = &departed.worker;
            worker.started_ms == last.started_ms && worker.heartbeats <= last.heartbeats
        })
    }

    /// Forgets a worker's entry in an older copy once its state was written again.
    pub(super) fn drop_unsettled_worker(&mut self, id: &Name, rev: Rev) {
        let unsettled = self.unsettled_workers.get(id);
        if unsettled.is_some_and(|unsettled| unsettled.entry.rev < rev) {
            self.unsettled_workers.remove(id);
        }
    }

    /// Keeps what is known of an evacuation for [`SETTLE_TIME`] against an older copy of the store.
    pub(super) fn hold_against(&mut self, name: Name, evacuated: bool, rev: Rev, now: Time) {
        let due = now + SETTLE_TIME;
        let entry = self.unsettled.entry(name).or_insert(Unsettled {
            due,
            evacuated,
            rev,
        });
        if entry.evacuated != evacuated || entry.rev.era < rev.era {
            *entry = Unsettled {
                due,
                evacuated,
                rev,
            };
        }
    }

    /// Forgets what an older copy says about an evacuation once the operator has written it again.
    pub(super) fn drop_unsettled(&mut self, name: &Name, rev: Rev) {
        if self
            .unsettled
            .get(name)
            .is_some_and(|entry| entry.rev.era <= rev.era)
        {
            self.unsettled.remove(name);
        }
    }
}
