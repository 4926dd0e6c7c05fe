use {
    crate::{
        Change, Config, DepartedWorker, Departure, ObjectState, Rev, Revs, Topic, Versioned,
        Worker, WorkerState,
    },
    std::{collections::hash_map::Entry, sync::Arc},
    unit::{Map, Name, Set, Span, Time},
};

/// How long a departed worker's last entry and its tombstone are kept. The entry serves to tell
/// late heartbeats from a restarted worker, and the tombstone to report the removal to peers.
const DEPARTED_TTL: Span = Span::secs(120);

/// How long an evacuation or its end, or a worker's removal, that was known before the store came
/// back from an older copy, holds against that copy. Operators and workers write again in that time
/// what was lost.
const SETTLE_TIME: Span = Span::secs(3);

/// An effect of a change on the view.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The configuration with this version is in force; it replaces any older one.
    Config(u64),
    /// The evacuation of a data centre began (`true`) or ended (`false`).
    Evacuation(Name, bool),
    /// A worker's entry was added or updated.
    Worker(Worker),
    /// A worker's entry was removed.
    WorkerRemoved(Name, Departure),
    /// A worker's entry was ignored because a newer one is known.
    WorkerStale(Name),
}

/// A record of a worker's removal.
#[derive(Clone, Debug)]
struct Tombstone {
    /// When this process learned of the removal.
    at: Time,
    departure: Departure,
    rev: Rev,
}

/// What an older copy of the store says about the evacuation of a data centre, against what was
/// known before.
#[derive(Clone, Copy, Debug)]
struct Unsettled {
    /// When the copy's state takes effect, unless the operator writes before.
    due: Time,
    /// Whether the data centre is evacuated in the copy.
    evacuated: bool,
    rev: Rev,
}

/// A worker's entry in an older copy of the store, of a worker that had left.
#[derive(Clone, Debug)]
struct UnsettledWorker {
    /// When the entry takes effect, unless it is removed again before.
    due: Time,
    entry: Versioned<Worker>,
}

/// Everything that a daemon knows of the site. No part of it ever returns to an older revision.
///
/// After the store came back from an older copy, its objects have revisions of a new era. Where the
/// copy contradicts what is known, the known state holds: a configuration by its version and a
/// worker by the count of its heartbeats, until they are written again; an evacuation, or its end,
/// and the removal of a worker that left, for [`SETTLE_TIME`]. A worker that the copy lacks counts
/// as lapsed.
#[derive(Clone, Debug, Default)]
pub struct View {
    config: Option<Versioned<Arc<Config>>>,
    /// Workers whose entries were removed lately, by id.
    departed: Map<Name, DepartedWorker>,
    /// The evacuated data centres, each with the revision of its evacuation.
    evacuated: Map<Name, Rev>,
    /// The newest revision whose tombstone was dropped. A peer with an older revision needs the
    /// full lists, as it may have missed that removal.
    compacted: Rev,
    /// The data centres whose evacuation ended, each with the revision of that end.
    returned: Map<Name, Rev>,
    revs: Revs,
    /// The removals of workers, by id.
    tombstones: Map<Name, Tombstone>,
    /// The data centres about which an older copy of the store contradicts what is known.
    unsettled: Map<Name, Unsettled>,
    /// The workers that had left and are in an older copy of the store, by id.
    unsettled_workers: Map<Name, UnsettledWorker>,
    /// The workers that have an entry, by id.
    workers: Map<Name, Versioned<Worker>>,
}

impl View {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref().map(|versioned| &versioned.value)
    }

    /// The revisions up to which the topics are known.
    pub fn revs(&self) -> Revs {
        self.revs
    }

    /// The workers that have an entry.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().map(|versioned| &versioned.value)
    }

    /// Whether a data centre is evacuated and gets no new requests.
    pub fn is_evacuated(&self, centre: &str) -> bool {
        self.evacuated.contains_key(centre)
    }

    /// The evacuated data centres.
    pub fn evacuations(&self) -> impl Iterator<Item = &Name> {
        self.evacuated.keys()
    }

    /// Applies a change and returns its effects. Items that are older than the known state are
    /// ignored.
    pub fn apply(&mut self, change: Change, now: Time) -> Vec<Effect> {
        let mut effects = self.settle(now);
        if change.full {
            if change.rev < self.revs.of(change.topic) {
                return effects;
            }
            self.remove_absent(&change, now, &mut effects);
        }
        for item in change.items {
            if !(change.full && self.holds_against(&item, now)) {
                self.apply_item(item, now, &mut effects);
            }
        }
        self.revs.raise(change.topic, change.rev);
        self.expire(now);
        effects
    }

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

    /// The changes that a peer lacks if it knows the topics up to `known`.
    pub fn changes_since(&self, known: &Revs) -> Vec<Change> {
        Topic::ALL
            .iter()
            .filter(|topic| self.revs.of(**topic) > known.of(**topic))
            .map(|topic| self.change_since(*topic, known.of(*topic)))
            .collect()
    }

    /// The change to one topic since revision `known`: a full list if nothing is known of the
    /// topic, the tombstone of a later removal may have been dropped, or the peer has yet to compare
    /// what it knows with the store's copy.
    fn change_since(&self, topic: Topic, known: Rev) -> Change {
        let full = known < self.compacted
            || known == Rev::default()
            || known.era < self.revs.of(topic).era;
        let after = if full { Rev::default() } else { known };
        Change {
            // It is unknown when a peer that far behind missed a departure, so the worker counts as
            // lapsed.
            absent_departure: Departure::Lapsed,
            full,
            items: match topic {
                Topic::Config => self.config_items(after),
                Topic::Evacuations => self.evacuation_items(after, full),
                Topic::Workers => self.worker_items(after, full),
            },
            rev: self.revs.of(topic),
            topic,
        }
    }

    fn config_items(&self, after: Rev) -> Vec<Versioned<ObjectState>> {
        let newer = self.config.iter().filter(|versioned| versioned.rev > after);
        newer
            .map(|versioned| Versioned {
                rev: versioned.rev,
                value: ObjectState::Config(Arc::clone(&versioned.value)),
            })
            .collect()
    }

    fn evacuation_items(&self, after: Rev, full: bool) -> Vec<Versioned<ObjectState>> {
        let unsettled = |name: &Name| full && self.unsettled.contains_key(name);
        let evacuated = self.evacuated.iter().filter(|(name, _)| !unsettled(name));
        // A full list says what the store says.
        let copied = self.unsettled.iter();
        let copied = copied
            .filter(|(_, entry)| full && entry.evacuated)
            .map(|(name, entry)| (name, &entry.rev));
        let evacuated = evacuated.chain(copied).map(|(name, rev)| Versioned {
            rev: *rev,
            value: ObjectState::Evacuated(name.clone()),
        });
        let returned = self.returned.iter().map(|(name, rev)| Versioned {
            rev: *rev,
            value: ObjectState::Returned(name.clone()),
        });
        let returned = returned.filter(|_| !full);
        evacuated
            .chain(returned)
            .filter(|item| item.rev > after)
            .collect()
    }

    fn worker_items(&self, after: Rev, full: bool) -> Vec<Versioned<ObjectState>> {
        let present = self.workers.values().map(|versioned| Versioned {
            rev: versioned.rev,
            value: ObjectState::Worker(versioned.value.clone()),
        });
        let removed = self.tombstones.iter().map(|(id, tombstone)| Versioned {
            rev: tombstone.rev,
            value: ObjectState::WorkerRemoved(id.clone(), tombstone.departure),
        });
        let removed = removed.filter(|_| !full);
        // A full list says what the store says.
        let copied = self.unsettled_workers.values().filter(|_| full);
        let copied = copied.map(|unsettled| Versioned {
            rev: unsettled.entry.rev,
            value: ObjectState::Worker(unsettled.entry.value.clone()),
        });
        present
            .chain(removed)
            .chain(copied)
            .filter(|item| item.rev > after)
            .collect()
    }

    /// Removes the objects that a full list lacks.
    fn remove_absent(&mut self, change: &Change, now: Time, effects: &mut Vec<Effect>) {
        match change.topic {
            Topic::Config => {}
            Topic::Evacuations => {
                let listed = |item: &Versioned<ObjectState>| match &item.value {
                    ObjectState::Evacuated(name) => Some(name.clone()),
                    _ => None,
                };
                let listed: Set<Name> = change.items.iter().filter_map(listed).collect();
                let known: Vec<Name> = self.evacuated.keys().cloned().collect();
                for name in known.into_iter().filter(|name| !listed.contains(name)) {
                    let copied = self.evacuated[&name].era < change.rev.era;
                    if copied {
                        self.hold_against(name, false, change.rev, now);
                    } else {
                        self.end_evacuation(name, change.rev, effects);
                    }
                }
            }
            Topic::Workers => {
                let listed = |item: &Versioned<ObjectState>| match &item.value {
                    ObjectState::Worker(worker) => Some(worker.id.clone()),
                    _ => None,
                };
                let listed: Set<Name> = change.items.iter().filter_map(listed).collect();
                self.unsettled_workers.retain(|id, _| listed.contains(id));
                let known: Vec<Name> = self.workers.keys().cloned().collect();
                for id in known.into_iter().filter(|id| !listed.contains(id)) {
                    self.remove_worker(id, change.absent_departure, change.rev, now, effects);
                }
            }
        }
    }

    fn apply_item(&mut self, item: Versioned<ObjectState>, now: Time, effects: &mut Vec<Effect>) {
        let rev = item.rev;
        match item.value {
            ObjectState::Config(config) => self.apply_config(config, rev, effects),
            ObjectState::Evacuated(name) => {
                self.drop_unsettled(&name, rev);
                self.begin_evacuation(name, rev, effects);
            }
            ObjectState::Returned(name) => {
                self.drop_unsettled(&name, rev);
                self.end_evacuation(name, rev, effects);
            }
            ObjectState::Worker(worker) => {
                self.drop_unsettled_worker(&worker.id, rev);
                self.apply_worker(worker, rev, effects);
            }
            ObjectState::WorkerRemoved(id, departure) => {
                self.drop_unsettled_worker(&id, rev);
                self.remove_worker(id, departure, rev, now, effects)
            }
        }
    }

    /// Applies a configuration, unless the known one has the same version or a later one.
    fn apply_config(&mut self, config: Arc<Config>, rev: Rev, effects: &mut Vec<Effect>) {
        let as_new = |known: &Versioned<Arc<Config>>| known.value.version >= config.version;
        if self.config.as_ref().is_some_and(as_new) {
            return;
        }
        effects.push(Effect::Config(config.version));
        self.config = Some(Versioned { rev, value: config });
    }

    /// Whether an item of a full list is an evacuation that ended, or a worker that left, before the
    /// store came back from an older copy. It then has no effect yet.
    fn holds_against(&mut self, item: &Versioned<ObjectState>, now: Time) -> bool {
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
    fn drop_unsettled_worker(&mut self, id: &Name, rev: Rev) {
        let unsettled = self.unsettled_workers.get(id);
        if unsettled.is_some_and(|unsettled| unsettled.entry.rev < rev) {
            self.unsettled_workers.remove(id);
        }
    }

    /// Keeps what is known of an evacuation for [`SETTLE_TIME`] against an older copy of the store.
    fn hold_against(&mut self, name: Name, evacuated: bool, rev: Rev, now: Time) {
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
    fn drop_unsettled(&mut self, name: &Name, rev: Rev) {
        if self
            .unsettled
            .get(name)
            .is_some_and(|entry| entry.rev.era <= rev.era)
        {
            self.unsettled.remove(name);
        }
    }

    /// Begins an evacuation, unless it ended at a later revision than `rev`.
    fn begin_evacuation(&mut self, name: Name, rev: Rev, effects: &mut Vec<Effect>) {
        if self.returned.get(&name).is_some_and(|known| *known >= rev) {
            return;
        }
        self.returned.remove(&name);
        let known = self.evacuated.entry(name.clone());
        if matches!(known, Entry::Vacant(_)) {
            effects.push(Effect::Evacuation(name, true));
        }
        let known = known.or_insert(rev);
        *known = rev.max(*known);
    }

    /// Ends an evacuation, unless it began at a later revision than `rev`.
    fn end_evacuation(&mut self, name: Name, rev: Rev, effects: &mut Vec<Effect>) {
        if self.evacuated.get(&name).is_some_and(|known| *known > rev) {
            return;
        }
        let ended = self.returned.entry(name.clone()).or_insert(rev);
        *ended = rev.max(*ended);
        if self.evacuated.remove(&name).is_some() {
            effects.push(Effect::Evacuation(name, false));
        }
    }

    /// Applies a worker's entry, unless an entry or a removal of the same or a later revision is
    /// known, or the worker wrote it before its last known entry.
    fn apply_worker(&mut self, worker: Worker, rev: Rev, effects: &mut Vec<Effect>) {
        let id = worker.id.clone();
        let known = self.workers.get(&id);
        if known.is_some_and(|known| known.rev >= rev)
            || self
                .tombstones
                .get(&id)
                .is_some_and(|tombstone| tombstone.rev >= rev)
        {
            return;
        }
        let last = known.map(|known| &known.value);
        let last = last.or_else(|| self.departed.get(&id).map(|departed| &departed.worker));
        if last.is_some_and(|last| is_outdated(&worker, last)) {
            effects.push(Effect::WorkerStale(id));
            return;
        }
        self.tombstones.remove(&id);
        self.departed.remove(&id);
        effects.push(Effect::Worker(worker.clone()));
        self.workers.insert(id, Versioned { rev, value: worker });
    }

    /// Removes a worker's entry, unless it was written at a later revision than `rev`. Records the
    /// removal even if the worker isn't known.
    fn remove_worker(
        &mut self,
        id: Name,
        departure: Departure,
        rev: Rev,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        if self.workers.get(&id).is_some_and(|known| known.rev > rev) {
            return;
        }
        let tombstone = Tombstone {
            at: now,
            departure,
            rev,
        };
        let known = self.tombstones.get(&id);
        if known.is_none_or(|known| known.rev < rev) {
            self.tombstones.insert(id.clone(), tombstone);
        }
        if let Some(known) = self.workers.remove(&id) {
            let departed = DepartedWorker {
                at: now,
                departure,
                worker: known.value,
            };
            self.departed.insert(id.clone(), departed);
            effects.push(Effect::WorkerRemoved(id, departure));
        }
    }

    /// Drops tombstones and departed workers older than `DEPARTED_TTL`.
    fn expire(&mut self, now: Time) {
        let compacted = &mut self.compacted;
        self.tombstones.retain(|_, tombstone| {
            let keep = now.since(tombstone.at) < DEPARTED_TTL;
            if !keep {
                *compacted = tombstone.rev.max(*compacted);
            }
            keep
        });
        self.departed
            .retain(|_, departed| now.since(departed.at) < DEPARTED_TTL);
    }
}

/// Whether the worker wrote `new` before `last`, although `new` reached the store later.
fn is_outdated(new: &Worker, last: &Worker) -> bool {
    if new.started_ms != last.started_ms {
        return new.started_ms < last.started_ms;
    }
    new.heartbeats < last.heartbeats
        || (last.state == WorkerState::Draining && new.state == WorkerState::Ready)
}
