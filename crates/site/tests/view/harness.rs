//! Changes and workers for tests.

use {
    site::{
        Change, Config, Departure, Era, ObjectState, Rev, Topic, Versioned, View, Worker,
        WorkerState,
    },
    std::sync::Arc,
    unit::{Span, Time},
};

/// A revision of the store's first era.
pub(crate) fn at_rev(number: u64) -> Rev {
    Rev::new(Era::default(), number)
}

pub(crate) const NOW: Time = Time::at(Span::secs(100));

pub(crate) fn worker(id: &str, started_ms: u64, heartbeats: u64, state: WorkerState) -> Worker {
    Worker {
        address: "10.0.0.1:80".parse().expect("an address"),
        heartbeats,
        started_ms,
        centre: "a".into(),
        cold_remaining: Span::ZERO,
        id: id.into(),
        service: "s".into(),
        slots: 4,
        state,
        version: "v1".into(),
    }
}

pub(crate) fn change(topic: Topic, full: bool, rev: u64, items: Vec<(u64, ObjectState)>) -> Change {
    Change {
        absent_departure: Departure::Left,
        full,
        items: items
            .into_iter()
            .map(|(rev, value)| Versioned {
                rev: at_rev(rev),
                value,
            })
            .collect(),
        rev: at_rev(rev),
        topic,
    }
}

/// The same in the store's next era, after it came back from an older copy.
pub(crate) fn restored(
    topic: Topic,
    full: bool,
    rev: u64,
    items: Vec<(u64, ObjectState)>,
) -> Change {
    let mut change = change(topic, full, rev, items);
    let next = |rev: Rev| Rev::new(Era(rev.era.0 + 1), rev.number);
    change.rev = next(change.rev);
    for item in &mut change.items {
        item.rev = next(item.rev);
    }
    change
}

pub(crate) fn config(version: u64) -> ObjectState {
    ObjectState::Config(Arc::new(Config {
        version,
        ..Config::default()
    }))
}

pub(crate) fn worker_ids(view: &View) -> Vec<String> {
    let mut ids: Vec<String> = view.workers().map(|worker| worker.id.to_string()).collect();
    ids.sort();
    ids
}

pub(crate) fn worker_change(rev: u64, worker: Worker) -> Change {
    change(
        Topic::Workers,
        false,
        rev,
        vec![(rev, ObjectState::Worker(worker))],
    )
}

pub(crate) fn removal_change(rev: u64, id: &str, departure: Departure) -> Change {
    let item = ObjectState::WorkerRemoved(id.into(), departure);
    change(Topic::Workers, false, rev, vec![(rev, item)])
}
