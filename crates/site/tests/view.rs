//! How a daemon's view of the site takes in changes.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    site::{
        Change, Config, Departure, Effect, ObjectState, Rev, Revs, Topic, Versioned, View, Worker,
        WorkerState,
    },
    std::sync::Arc,
    unit::{Span, Time},
};

const NOW: Time = Time::at(Span::secs(100));

fn worker(id: &str, born: u64, beats: u64, state: WorkerState) -> Worker {
    Worker {
        address: "10.0.0.1:80".parse().expect("an address"),
        heartbeats: beats,
        started_ms: born,
        centre: "a".into(),
        cold_remaining: Span::ZERO,
        id: id.into(),
        service: "s".into(),
        slots: 4,
        state,
    }
}

fn change(topic: Topic, full: bool, rev: u64, items: Vec<(u64, ObjectState)>) -> Change {
    Change {
        absent_departure: Departure::Left,
        full,
        items: items
            .into_iter()
            .map(|(rev, value)| Versioned {
                rev: Rev(rev),
                value,
            })
            .collect(),
        rev: Rev(rev),
        topic,
    }
}

fn config(version: u64) -> ObjectState {
    ObjectState::Config(Arc::new(Config {
        version,
        ..Config::default()
    }))
}

fn workers(view: &View) -> Vec<String> {
    let mut ids: Vec<String> = view.workers().map(|worker| worker.id.to_string()).collect();
    ids.sort();
    ids
}

fn entered(rev: u64, worker: Worker) -> Change {
    change(
        Topic::Workers,
        false,
        rev,
        vec![(rev, ObjectState::Worker(worker))],
    )
}

fn left(rev: u64, id: &str, departure: Departure) -> Change {
    let item = ObjectState::WorkerRemoved(id.into(), departure);
    change(Topic::Workers, false, rev, vec![(rev, item)])
}

#[test]
fn a_configuration_never_goes_back() {
    let mut view = View::default();
    view.apply(change(Topic::Config, false, 5, vec![(5, config(7))]), NOW);
    let effects = view.apply(change(Topic::Config, false, 6, vec![(6, config(6))]), NOW);
    assert!(effects.is_empty());
    assert_eq!(view.config().map(|config| config.version), Some(7));
    let old = change(Topic::Config, true, 4, vec![(4, config(9))]);
    assert!(view.apply(old, NOW).is_empty());
}

#[test]
fn a_full_list_removes_what_it_lacks() {
    let mut view = View::default();
    for (rev, id) in [(1, "x"), (2, "y")] {
        view.apply(entered(rev, worker(id, 1, 1, WorkerState::Ready)), NOW);
    }
    let full = change(
        Topic::Workers,
        true,
        9,
        vec![(
            2,
            ObjectState::Worker(worker("y", 1, 1, WorkerState::Ready)),
        )],
    );
    let effects = view.apply(full, NOW);
    assert_eq!(
        effects,
        [Effect::WorkerRemoved("x".into(), Departure::Left)]
    );
    assert_eq!(workers(&view), ["y"]);
}

#[test]
fn a_late_heartbeat_neither_revives_a_draining_worker_nor_an_earlier_life() {
    let mut view = View::default();
    view.apply(entered(1, worker("x", 10, 5, WorkerState::Draining)), NOW);
    let stale = [Effect::WorkerStale("x".into())];
    assert_eq!(
        view.apply(entered(2, worker("x", 10, 6, WorkerState::Ready)), NOW),
        stale
    );
    assert_eq!(
        view.apply(entered(3, worker("x", 10, 4, WorkerState::Draining)), NOW),
        stale
    );
    assert_eq!(
        view.apply(entered(4, worker("x", 9, 99, WorkerState::Ready)), NOW),
        stale
    );
    let reborn = worker("x", 11, 1, WorkerState::Ready);
    let effects = view.apply(entered(5, reborn.clone()), NOW);
    assert_eq!(effects, [Effect::Worker(reborn)]);
}

#[test]
fn a_late_heartbeat_does_not_revive_a_worker_that_left() {
    let mut view = View::default();
    view.apply(entered(1, worker("x", 10, 5, WorkerState::Draining)), NOW);
    view.apply(left(2, "x", Departure::Left), NOW);
    let effects = view.apply(entered(3, worker("x", 10, 6, WorkerState::Ready)), NOW);
    assert_eq!(effects, [Effect::WorkerStale("x".into())]);
    assert!(workers(&view).is_empty());
}

#[test]
fn a_worker_whose_entry_lapsed_comes_back() {
    let mut view = View::default();
    view.apply(entered(1, worker("x", 10, 5, WorkerState::Ready)), NOW);
    view.apply(left(2, "x", Departure::Lapsed), NOW);
    view.apply(entered(3, worker("x", 10, 9, WorkerState::Ready)), NOW);
    assert_eq!(workers(&view), ["x"]);
}

#[test]
fn a_centre_is_evacuated_until_it_is_taken_back() {
    let mut view = View::default();
    let out = |rev| {
        change(
            Topic::Evacuations,
            false,
            rev,
            vec![(rev, ObjectState::Evacuated("a".into()))],
        )
    };
    let back = |rev| {
        change(
            Topic::Evacuations,
            false,
            rev,
            vec![(rev, ObjectState::Returned("a".into()))],
        )
    };
    assert_eq!(
        view.apply(out(3), NOW),
        [Effect::Evacuation("a".into(), true)]
    );
    assert!(view.apply(back(2), NOW).is_empty());
    assert!(view.is_evacuated("a"));
    assert_eq!(
        view.apply(back(4), NOW),
        [Effect::Evacuation("a".into(), false)]
    );
    assert!(view.apply(out(3), NOW).is_empty());
    view.apply(out(5), NOW);
    let none = change(Topic::Evacuations, true, 8, Vec::new());
    assert_eq!(
        view.apply(none, NOW),
        [Effect::Evacuation("a".into(), false)]
    );
}

#[test]
fn a_peer_catches_up_by_what_it_lacks() {
    let mut view = View::default();
    view.apply(entered(1, worker("x", 1, 1, WorkerState::Ready)), NOW);
    view.apply(change(Topic::Config, false, 2, vec![(2, config(7))]), NOW);
    let mut peer = View::default();
    for change in view.changes_since(&peer.revs()) {
        peer.apply(change, NOW);
    }
    assert_eq!((peer.revs(), workers(&peer)), (view.revs(), workers(&view)));
    view.apply(entered(3, worker("y", 1, 1, WorkerState::Ready)), NOW);
    view.apply(left(4, "x", Departure::Left), NOW);
    let changes = view.changes_since(&peer.revs());
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].full, changes[0].items.len()), (false, 2));
    peer.apply(changes[0].clone(), NOW);
    assert_eq!(workers(&peer), ["y"]);
    assert!(view.changes_since(&peer.revs()).is_empty());
}

#[test]
fn a_peer_far_behind_gets_everything() {
    let mut view = View::default();
    view.apply(entered(1, worker("x", 1, 1, WorkerState::Ready)), NOW);
    let mut peer = view.clone();
    view.apply(left(2, "x", Departure::Left), NOW);
    let later = NOW + Span::secs(600);
    view.apply(entered(3, worker("y", 1, 1, WorkerState::Ready)), later);
    let have = Revs {
        workers: Rev(1),
        ..Revs::default()
    };
    let changes = view.changes_since(&have);
    assert!(changes[0].full);
    peer.apply(changes[0].clone(), later);
    assert_eq!(workers(&peer), ["y"]);
}

#[test]
fn changes_may_come_twice_and_out_of_order() {
    let mut view = View::default();
    let (first, second) = (
        entered(1, worker("x", 1, 1, WorkerState::Ready)),
        entered(2, worker("x", 1, 2, WorkerState::Draining)),
    );
    view.apply(second.clone(), NOW);
    view.apply(first, NOW);
    view.apply(second, NOW);
    let state: Vec<WorkerState> = view.workers().map(|worker| worker.state).collect();
    assert_eq!(state, [WorkerState::Draining]);
    assert_eq!(view.revs().workers, Rev(2));
}
