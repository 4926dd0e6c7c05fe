mod copies;
mod missing;

use {
    crate::{
        Change, Config, DepartedWorker, Departure, ObjectState, Rev, Revs, Rollout, Topic,
        Versioned, Worker, WorkerState,
    },
    copies::{Unsettled, UnsettledWorker},
    std::{collections::hash_map::Entry, sync::Arc},
    unit::{Map, Name, Set, Span, Time},
};

/// How long a departed worker's last entry and its tombstone are kept. The entry serves to tell
/// late heartbeats from a restarted worker, and the tombstone to report the removal to peers.
const DEPARTED_TTL: Span = Span::secs(120);

/// An effect of a change on the view.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The configuration with this version is in force; it replaces any older one.
    Config(u64),
    /// The evacuation of a data centre began (`true`) or ended (`false`).
    Evacuation(Name, bool),
    /// A rollout was added, changed or removed.
    Rollouts,
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
    /// The rollouts, by the names of their objects.
    rollouts: Map<Name, Versioned<Rollout>>,
    /// The removals of workers, by id.
    tombstones: Map<Name, Tombstone>,
    /// The names of the rollout objects that can't be decoded, each with its revision.
    unreadable: Map<Name, Rev>,
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

    /// The workers that have an entry, each with the revision of that.
    pub fn worker_entries(&self) -> impl Iterator<Item = &Versioned<Worker>> {
        self.workers.values()
    }

    /// The rollouts, each with the revision of its last change.
    pub fn rollouts(&self) -> impl Iterator<Item = &Versioned<Rollout>> {
        self.rollouts.values()
    }

    /// The names of the rollout objects that can't be decoded.
    pub fn unreadable_rollouts(&self) -> impl Iterator<Item = &Name> {
        self.unreadable.keys()
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
            // What is known of rollouts is complete up to its revision, removals included.
            let outdated =
                change.topic == Topic::Rollouts && !change.full && item.rev <= self.revs.rollouts;
            if !(outdated || change.full && self.holds_against(&item, now)) {
                self.apply_item(item, now, &mut effects);
            }
        }
        self.revs.raise(change.topic, change.rev);
        self.expire(now);
        effects
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
            Topic::Rollouts => {
                let listed = |item: &Versioned<ObjectState>| match &item.value {
                    ObjectState::Rollout(rollout) => Some(rollout.name.clone()),
                    ObjectState::RolloutUnreadable(name) => Some(name.clone()),
                    _ => None,
                };
                let listed: Set<Name> = change.items.iter().filter_map(listed).collect();
                let before = self.rollouts.len();
                self.rollouts.retain(|name, _| listed.contains(name));
                self.unreadable.retain(|name, _| listed.contains(name));
                if self.rollouts.len() < before {
                    effects.push(Effect::Rollouts);
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
            ObjectState::Rollout(rollout) => {
                self.unreadable.remove(&rollout.name);
                let known = self.rollouts.get(&rollout.name);
                if known.is_none_or(|known| known.rev < rev) {
                    let value = rollout;
                    self.rollouts
                        .insert(value.name.clone(), Versioned { rev, value });
                    effects.push(Effect::Rollouts);
                }
            }
            ObjectState::RolloutUnreadable(name) => {
                self.unreadable.insert(name, rev);
            }
            ObjectState::RolloutRemoved(name) => {
                self.unreadable.remove(&name);
                if self.rollouts.remove(&name).is_some() {
                    effects.push(Effect::Rollouts);
                }
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
