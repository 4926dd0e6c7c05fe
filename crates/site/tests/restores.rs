//! Views of a store that comes back from older copies, with changes that arrive out of order, twice
//! or from another view.

use {
    fastrand::Rng,
    quickcheck::quickcheck,
    site::{
        Change, Config, Departure, Effect, Era, ObjectState, Rev, Topic, Versioned, View, Worker,
        WorkerState,
    },
    std::{collections::BTreeMap, sync::Arc},
    unit::{Name, Span, Time},
};

const NAMES: [&str; 3] = ["a", "b", "c"];
const STEPS: usize = 120;
const STEP: Span = Span::millis(100);
/// Longer than an older copy is held against what was known.
const LONG: Span = Span::secs(10);

/// The objects of a store, by topic and name.
type Objects = BTreeMap<(u8, Name), Versioned<ObjectState>>;

/// A store with the copy that it may come back from.
#[derive(Default)]
struct Store {
    copy: (Objects, u64),
    era: u32,
    /// Every change, with its topic.
    history: Vec<(Topic, Versioned<ObjectState>)>,
    number: u64,
    objects: Objects,
    /// What was written since the copy was made.
    written: Vec<(Topic, Name, Option<ObjectState>)>,
}

impl Store {
    fn rev(&self) -> Rev {
        Rev::new(Era(self.era), self.number)
    }

    /// Writes an object, or removes it.
    fn write(&mut self, topic: Topic, name: &Name, value: Option<ObjectState>) {
        self.written.push((topic, name.clone(), value.clone()));
        let key = (topic as u8, name.clone());
        if value.is_none() && !self.objects.contains_key(&key) {
            return;
        }
        self.number += 1;
        let rev = self.rev();
        let event = match value {
            Some(value) => {
                let object = Versioned { rev, value };
                self.objects.insert(key, object.clone());
                object
            }
            None => {
                self.objects.remove(&key);
                let value = match topic {
                    Topic::Workers => ObjectState::WorkerRemoved(name.clone(), Departure::Left),
                    _ => ObjectState::Returned(name.clone()),
                };
                Versioned { rev, value }
            }
        };
        self.history.push((topic, event));
    }

    fn back_up(&mut self) {
        self.copy = (self.objects.clone(), self.number);
        self.written.clear();
    }

    fn restore(&mut self) {
        self.era += 1;
        (self.objects, self.number) = self.copy.clone();
        let era = Era(self.era);
        for object in self.objects.values_mut() {
            object.rev.era = era;
        }
        self.history.clear();
    }

    /// Operators and workers write again what was lost.
    fn write_again(&mut self) {
        for (topic, name, value) in std::mem::take(&mut self.written) {
            self.write(topic, &name, value);
        }
    }

    fn list(&self, topic: Topic) -> Change {
        let of_topic = self
            .objects
            .iter()
            .filter(|((of, _), _)| *of == topic as u8);
        Change {
            absent_departure: Departure::Lapsed,
            full: true,
            items: of_topic.map(|(_, object)| object.clone()).collect(),
            rev: self.rev(),
            topic,
        }
    }

    /// What a watch from a revision reports; a list if the store doesn't have that revision.
    fn watch(&self, topic: Topic, from: Rev) -> Change {
        if from.era < Era(self.era) || from.number == 0 {
            return self.list(topic);
        }
        let newer = self.history.iter().filter(|(of, _)| *of == topic);
        let newer = newer.filter(|(_, event)| event.rev > from);
        Change {
            full: false,
            items: newer.map(|(_, event)| event.clone()).collect(),
            ..self.list(topic)
        }
    }
}

/// Draws what an operator or a worker writes next. `count` grows with each draw.
fn draw_write(rng: &mut Rng, count: u64) -> (Topic, Name, Option<ObjectState>) {
    let name: Name = NAMES[rng.usize(..NAMES.len())].into();
    match rng.u8(..5) {
        0 => {
            let config = Config {
                version: count,
                ..Config::default()
            };
            let value = ObjectState::Config(Arc::new(config));
            (Topic::Config, "main".into(), Some(value))
        }
        1 => {
            let value = ObjectState::Evacuated(name.clone());
            (Topic::Evacuations, name, Some(value))
        }
        2 => (Topic::Evacuations, name, None),
        3 => (Topic::Workers, name, None),
        _ => {
            let worker = Worker {
                address: "10.0.0.1:80".parse().unwrap_or_else(|_| unreachable!()),
                heartbeats: count,
                started_ms: 1,
                centre: "a".into(),
                cold_remaining: Span::ZERO,
                id: name.clone(),
                service: "s".into(),
                slots: 4,
                state: WorkerState::Ready,
                version: Name::default(),
            };
            (Topic::Workers, name, Some(ObjectState::Worker(worker)))
        }
    }
}

/// What a view knows of the topics that follow the store's lists.
fn known(view: &View) -> (Vec<Name>, Vec<(Name, u64)>) {
    let mut evacuated: Vec<Name> = view.evacuations().cloned().collect();
    let workers = view.workers();
    let mut workers: Vec<(Name, u64)> = workers
        .map(|worker| (worker.id.clone(), worker.heartbeats))
        .collect();
    evacuated.sort();
    workers.sort();
    (evacuated, workers)
}

/// Plays a random course of writes, copies and restores before two views; returns whether both
/// agree with the store in the end and no configuration ever went back to an older version.
fn converges(seed: u64) -> bool {
    let mut rng = Rng::with_seed(seed);
    let mut store = Store::default();
    let mut views = [View::default(), View::default()];
    let mut late: Vec<Change> = Vec::new();
    let mut versions = [0, 0];
    let mut now = Time::ZERO;
    let mut lost = false;
    for count in 1..=STEPS as u64 {
        now = now + STEP;
        let mut changes = Vec::new();
        let index = rng.usize(..2);
        match rng.u8(..12) {
            0 if !lost => store.back_up(),
            1 if !lost => {
                store.restore();
                lost = true;
            }
            0..=2 if lost => {
                store.write_again();
                lost = false;
            }
            0..=6 => {
                let (topic, name, value) = draw_write(&mut rng, count);
                store.write(topic, &name, value);
            }
            7 | 8 => {
                for topic in Topic::ALL {
                    changes.push(store.watch(topic, views[index].revs().of(topic)));
                }
            }
            9 => changes = views[1 - index].changes_since(&views[index].revs()),
            _ if !late.is_empty() => changes.push(late.swap_remove(rng.usize(..late.len()))),
            _ => {}
        }
        for change in changes {
            if rng.u8(..4) == 0 {
                late.push(change.clone());
            }
            for effect in views[index].apply(change, now) {
                if let Effect::Config(version) = effect {
                    if version <= versions[index] {
                        return false;
                    }
                    versions[index] = version;
                }
            }
        }
    }
    if lost {
        store.write_again();
    }
    // Each view reads the store, as a watcher does, until nothing is unsettled.
    for _ in 0..2 {
        for view in &mut views {
            for topic in Topic::ALL {
                view.apply(store.list(topic), now);
            }
        }
        now = now + LONG;
        for view in &mut views {
            view.settle(now);
        }
    }
    let mut truth = View::default();
    for topic in Topic::ALL {
        truth.apply(store.list(topic), now);
    }
    views.iter().all(|view| known(view) == known(&truth))
}

quickcheck! {
    fn views_converge_through_restores(seed: u64) -> bool {
        converges(seed)
    }
}
