use {
    crate::{
        Change, Config, DepartedWorker, Departure, ObjectState, Rev, Revs, Topic, Versioned,
        Worker, WorkerState,
    },
    std::sync::Arc,
    unit::{Map, Name, Set, Span, Time},
};

/// How long a departed worker's last entry is kept, to tell its late heartbeats from a new life,
/// and its departure to tell peers of it.
const KEEP_DEPARTED: Span = Span::secs(120);

/// What a change did to the view.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A newer configuration is in force.
    Config(u64),
    /// A data centre is evacuated, or taken back.
    Evacuation(Name, bool),
    /// A worker is new or its entry changed.
    Worker(Worker),
    /// A worker's entry is gone.
    WorkerRemoved(Name, Departure),
    /// A worker's entry was ignored: it is older than what is known.
    WorkerStale(Name),
}

#[derive(Clone, Debug)]
struct Tombstone {
    at: Time,
    departure: Departure,
    rev: Rev,
}

/// Everything that a daemon knows of the site. Nothing in it ever goes back to an older revision.
#[derive(Clone, Debug, Default)]
pub struct View {
    config: Option<Versioned<Arc<Config>>>,
    departed: Map<Name, DepartedWorker>,
    evacuated: Map<Name, Rev>,
    /// The newest revision whose tombstones were dropped; older readers need everything.
    horizon: Rev,
    returned: Map<Name, Rev>,
    revs: Revs,
    tombs: Map<Name, Tombstone>,
    workers: Map<Name, Versioned<Worker>>,
}

impl View {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref().map(|edition| &edition.value)
    }

    /// The revisions up to which the topics are known.
    pub fn revs(&self) -> Revs {
        self.revs
    }

    /// The workers that have an entry.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().map(|edition| &edition.value)
    }

    /// Whether a data centre is to get no new work.
    pub fn is_evacuated(&self, centre: &str) -> bool {
        self.evacuated.contains_key(centre)
    }

    /// The evacuated data centres.
    pub fn evacuations(&self) -> impl Iterator<Item = &Name> {
        self.evacuated.keys()
    }

    /// Applies a change and tells what it did. Parts that are older than what is known are
    /// ignored.
    pub fn apply(&mut self, change: Change, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if change.full {
            if change.rev < self.revs.of(change.topic) {
                return effects;
            }
            self.remove_absent(&change, now, &mut effects);
        }
        for item in change.items {
            self.take(item, now, &mut effects);
        }
        self.revs.raise(change.topic, change.rev);
        self.forget(now);
        effects
    }

    /// What a reader who knows the topics up to `have` lacks.
    pub fn changes_since(&self, have: &Revs) -> Vec<Change> {
        Topic::ALL
            .iter()
            .filter(|topic| self.revs.of(**topic) > have.of(**topic))
            .map(|topic| self.change(*topic, have.of(*topic)))
            .collect()
    }

    fn change(&self, topic: Topic, have: Rev) -> Change {
        let full = have < self.horizon || have == Rev::default();
        let after = if full { Rev::default() } else { have };
        Change {
            // When a reader that far behind missed a departure can't be told.
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
        let newer = self.config.iter().filter(|edition| edition.rev > after);
        newer
            .map(|edition| Versioned {
                rev: edition.rev,
                value: ObjectState::Config(Arc::clone(&edition.value)),
            })
            .collect()
    }

    fn evacuation_items(&self, after: Rev, full: bool) -> Vec<Versioned<ObjectState>> {
        let out = self.evacuated.iter().map(|(name, rev)| Versioned {
            rev: *rev,
            value: ObjectState::Evacuated(name.clone()),
        });
        let back = self.returned.iter().map(|(name, rev)| Versioned {
            rev: *rev,
            value: ObjectState::Returned(name.clone()),
        });
        let back = back.filter(|_| !full);
        out.chain(back).filter(|item| item.rev > after).collect()
    }

    fn worker_items(&self, after: Rev, full: bool) -> Vec<Versioned<ObjectState>> {
        let here = self.workers.values().map(|edition| Versioned {
            rev: edition.rev,
            value: ObjectState::Worker(edition.value.clone()),
        });
        let gone = self.tombs.iter().map(|(id, tomb)| Versioned {
            rev: tomb.rev,
            value: ObjectState::WorkerRemoved(id.clone(), tomb.departure),
        });
        let gone = gone.filter(|_| !full);
        here.chain(gone).filter(|item| item.rev > after).collect()
    }

    fn remove_absent(&mut self, change: &Change, now: Time, effects: &mut Vec<Effect>) {
        match change.topic {
            Topic::Config => {}
            Topic::Evacuations => {
                let listed = |item: &Versioned<ObjectState>| match &item.value {
                    ObjectState::Evacuated(name) => Some(name.clone()),
                    _ => None,
                };
                let listed: Set<Name> = change.items.iter().filter_map(listed).collect();
                let gone: Vec<Name> = self.evacuated.keys().cloned().collect();
                for name in gone.into_iter().filter(|name| !listed.contains(name)) {
                    self.take_back(name, change.rev, effects);
                }
            }
            Topic::Workers => {
                let listed = |item: &Versioned<ObjectState>| match &item.value {
                    ObjectState::Worker(worker) => Some(worker.id.clone()),
                    _ => None,
                };
                let listed: Set<Name> = change.items.iter().filter_map(listed).collect();
                let gone: Vec<Name> = self.workers.keys().cloned().collect();
                for id in gone.into_iter().filter(|id| !listed.contains(id)) {
                    self.remove(id, change.absent_departure, change.rev, now, effects);
                }
            }
        }
    }

    fn take(&mut self, item: Versioned<ObjectState>, now: Time, effects: &mut Vec<Effect>) {
        let rev = item.rev;
        match item.value {
            ObjectState::Config(config) => self.take_config(config, rev, effects),
            ObjectState::Evacuated(name) => {
                if self.returned.get(&name).is_some_and(|known| *known >= rev) {
                    return;
                }
                self.returned.remove(&name);
                if self.evacuated.insert(name.clone(), rev).is_none() {
                    effects.push(Effect::Evacuation(name, true));
                }
            }
            ObjectState::Returned(name) => self.take_back(name, rev, effects),
            ObjectState::Worker(worker) => self.take_worker(worker, rev, effects),
            ObjectState::WorkerRemoved(id, departure) => {
                self.remove(id, departure, rev, now, effects)
            }
        }
    }

    fn take_config(&mut self, config: Arc<Config>, rev: Rev, effects: &mut Vec<Effect>) {
        let older = |known: &Versioned<Arc<Config>>| known.value.version >= config.version;
        if self.config.as_ref().is_some_and(older) {
            return;
        }
        effects.push(Effect::Config(config.version));
        self.config = Some(Versioned { rev, value: config });
    }

    fn take_back(&mut self, name: Name, rev: Rev, effects: &mut Vec<Effect>) {
        if self.evacuated.get(&name).is_some_and(|known| *known > rev) {
            return;
        }
        self.returned.insert(name.clone(), rev);
        if self.evacuated.remove(&name).is_some() {
            effects.push(Effect::Evacuation(name, false));
        }
    }

    fn take_worker(&mut self, worker: Worker, rev: Rev, effects: &mut Vec<Effect>) {
        let id = worker.id.clone();
        let known = self.workers.get(&id);
        if known.is_some_and(|known| known.rev >= rev)
            || self.tombs.get(&id).is_some_and(|tomb| tomb.rev >= rev)
        {
            return;
        }
        let last = known.map(|known| &known.value);
        let last = last.or_else(|| self.departed.get(&id).map(|gone| &gone.worker));
        if last.is_some_and(|last| outdated(&worker, last)) {
            effects.push(Effect::WorkerStale(id));
            return;
        }
        self.tombs.remove(&id);
        self.departed.remove(&id);
        effects.push(Effect::Worker(worker.clone()));
        self.workers.insert(id, Versioned { rev, value: worker });
    }

    fn remove(
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
        let tomb = Tombstone {
            at: now,
            departure,
            rev,
        };
        self.tombs.insert(id.clone(), tomb);
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

    fn forget(&mut self, now: Time) {
        let horizon = &mut self.horizon;
        self.tombs.retain(|_, tomb| {
            let keep = now.since(tomb.at) < KEEP_DEPARTED;
            if !keep {
                *horizon = tomb.rev.max(*horizon);
            }
            keep
        });
        self.departed
            .retain(|_, gone| now.since(gone.at) < KEEP_DEPARTED);
    }
}

/// Whether `new` was written before `last` by the same worker, though it reached the store later.
fn outdated(new: &Worker, last: &Worker) -> bool {
    if new.started_ms != last.started_ms {
        return new.started_ms < last.started_ms;
    }
    new.heartbeats < last.heartbeats
        || (last.state == WorkerState::Draining && new.state == WorkerState::Ready)
}
