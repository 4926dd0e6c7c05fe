//! How changes from the store and from other daemons are merged into a daemon's view of the site.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    site::{
        Change, Config, Departure, Effect, Era, ObjectState, Rev, Revs, Topic, Versioned, View,
        Worker, WorkerState,
    },
    std::sync::Arc,
    unit::{Span, Time},
};

/// A revision of the store's first era.
fn at_rev(number: u64) -> Rev {
    Rev::new(Era::default(), number)
}

const NOW: Time = Time::at(Span::secs(100));

fn worker(id: &str, started_ms: u64, heartbeats: u64, state: WorkerState) -> Worker {
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
    }
}

fn change(topic: Topic, full: bool, rev: u64, items: Vec<(u64, ObjectState)>) -> Change {
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
fn restored(topic: Topic, full: bool, rev: u64, items: Vec<(u64, ObjectState)>) -> Change {
    let mut change = change(topic, full, rev, items);
    let next = |rev: Rev| Rev::new(Era(rev.era.0 + 1), rev.number);
    change.rev = next(change.rev);
    for item in &mut change.items {
        item.rev = next(item.rev);
    }
    change
}

fn config(version: u64) -> ObjectState {
    ObjectState::Config(Arc::new(Config {
        version,
        ..Config::default()
    }))
}

fn worker_ids(view: &View) -> Vec<String> {
    let mut ids: Vec<String> = view.workers().map(|worker| worker.id.to_string()).collect();
    ids.sort();
    ids
}

fn worker_change(rev: u64, worker: Worker) -> Change {
    change(
        Topic::Workers,
        false,
        rev,
        vec![(rev, ObjectState::Worker(worker))],
    )
}

fn removal_change(rev: u64, id: &str, departure: Departure) -> Change {
    let item = ObjectState::WorkerRemoved(id.into(), departure);
    change(Topic::Workers, false, rev, vec![(rev, item)])
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut view = View::default();
    view.apply(change(Topic::Config, false, 5, vec![(5, config(7))]), NOW);
    let effects = view.apply(change(Topic::Config, false, 6, vec![(6, config(6))]), NOW);
    assert!(effects.is_empty());
    assert_eq!(view.config().map(|config| config.version), Some(7));
    let older = change(Topic::Config, true, 4, vec![(4, config(9))]);
    assert!(view.apply(older, NOW).is_empty());
}

#[test]
fn a_full_list_removes_the_workers_that_it_lacks() {
    let mut view = View::default();
    for (rev, id) in [(1, "x"), (2, "y")] {
        view.apply(
            worker_change(rev, worker(id, 1, 1, WorkerState::Ready)),
            NOW,
        );
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
    assert_eq!(worker_ids(&view), ["y"]);
}

#[test]
fn a_late_heartbeat_revives_neither_a_draining_worker_nor_an_earlier_process() {
    let mut view = View::default();
    view.apply(
        worker_change(1, worker("x", 10, 5, WorkerState::Draining)),
        NOW,
    );
    let stale = [Effect::WorkerStale("x".into())];
    assert_eq!(
        view.apply(
            worker_change(2, worker("x", 10, 6, WorkerState::Ready)),
            NOW
        ),
        stale
    );
    assert_eq!(
        view.apply(
            worker_change(3, worker("x", 10, 4, WorkerState::Draining)),
            NOW
        ),
        stale
    );
    assert_eq!(
        view.apply(
            worker_change(4, worker("x", 9, 99, WorkerState::Ready)),
            NOW
        ),
        stale
    );
    let restarted = worker("x", 11, 1, WorkerState::Ready);
    let effects = view.apply(worker_change(5, restarted.clone()), NOW);
    assert_eq!(effects, [Effect::Worker(restarted)]);
}

#[test]
fn a_late_heartbeat_does_not_revive_a_removed_draining_worker() {
    let mut view = View::default();
    view.apply(
        worker_change(1, worker("x", 10, 5, WorkerState::Draining)),
        NOW,
    );
    view.apply(removal_change(2, "x", Departure::Left), NOW);
    let effects = view.apply(
        worker_change(3, worker("x", 10, 6, WorkerState::Ready)),
        NOW,
    );
    assert_eq!(effects, [Effect::WorkerStale("x".into())]);
    assert!(worker_ids(&view).is_empty());
}

#[test]
fn a_worker_whose_entry_lapsed_may_register_again() {
    let mut view = View::default();
    view.apply(
        worker_change(1, worker("x", 10, 5, WorkerState::Ready)),
        NOW,
    );
    view.apply(removal_change(2, "x", Departure::Lapsed), NOW);
    view.apply(
        worker_change(3, worker("x", 10, 9, WorkerState::Ready)),
        NOW,
    );
    assert_eq!(worker_ids(&view), ["x"]);
}

#[test]
fn a_centre_stays_evacuated_until_the_evacuation_ends() {
    let mut view = View::default();
    let evacuated = |rev| {
        change(
            Topic::Evacuations,
            false,
            rev,
            vec![(rev, ObjectState::Evacuated("a".into()))],
        )
    };
    let returned = |rev| {
        change(
            Topic::Evacuations,
            false,
            rev,
            vec![(rev, ObjectState::Returned("a".into()))],
        )
    };
    assert_eq!(
        view.apply(evacuated(3), NOW),
        [Effect::Evacuation("a".into(), true)]
    );
    assert!(view.apply(returned(2), NOW).is_empty());
    assert!(view.is_evacuated("a"));
    assert_eq!(
        view.apply(returned(4), NOW),
        [Effect::Evacuation("a".into(), false)]
    );
    assert!(view.apply(evacuated(3), NOW).is_empty());
    view.apply(evacuated(5), NOW);
    let none = change(Topic::Evacuations, true, 8, Vec::new());
    assert_eq!(
        view.apply(none, NOW),
        [Effect::Evacuation("a".into(), false)]
    );
}

#[test]
fn a_peer_catches_up_with_the_changes_that_it_lacks() {
    let mut view = View::default();
    view.apply(worker_change(1, worker("x", 1, 1, WorkerState::Ready)), NOW);
    view.apply(change(Topic::Config, false, 2, vec![(2, config(7))]), NOW);
    let mut peer = View::default();
    for change in view.changes_since(&peer.revs()) {
        peer.apply(change, NOW);
    }
    assert_eq!(
        (peer.revs(), worker_ids(&peer)),
        (view.revs(), worker_ids(&view))
    );
    view.apply(worker_change(3, worker("y", 1, 1, WorkerState::Ready)), NOW);
    view.apply(removal_change(4, "x", Departure::Left), NOW);
    let changes = view.changes_since(&peer.revs());
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].full, changes[0].items.len()), (false, 2));
    peer.apply(changes[0].clone(), NOW);
    assert_eq!(worker_ids(&peer), ["y"]);
    assert!(view.changes_since(&peer.revs()).is_empty());
}

#[test]
fn a_peer_far_behind_gets_full_lists() {
    let mut view = View::default();
    view.apply(worker_change(1, worker("x", 1, 1, WorkerState::Ready)), NOW);
    let mut peer = view.clone();
    view.apply(removal_change(2, "x", Departure::Left), NOW);
    let later = NOW + Span::secs(600);
    view.apply(
        worker_change(3, worker("y", 1, 1, WorkerState::Ready)),
        later,
    );
    let known = Revs {
        workers: at_rev(1),
        ..Revs::default()
    };
    let changes = view.changes_since(&known);
    assert!(changes[0].full);
    peer.apply(changes[0].clone(), later);
    assert_eq!(worker_ids(&peer), ["y"]);
}

#[test]
fn changes_may_arrive_twice_and_out_of_order() {
    let mut view = View::default();
    let (first, second) = (
        worker_change(1, worker("x", 1, 1, WorkerState::Ready)),
        worker_change(2, worker("x", 1, 2, WorkerState::Draining)),
    );
    view.apply(second.clone(), NOW);
    view.apply(first, NOW);
    view.apply(second, NOW);
    let state: Vec<WorkerState> = view.workers().map(|worker| worker.state).collect();
    assert_eq!(state, [WorkerState::Draining]);
    assert_eq!(view.revs().workers, at_rev(2));
}

#[test]
fn changes_in_a_new_era_count_although_their_revisions_are_lower() {
    let mut view = View::default();
    view.apply(change(Topic::Workers, true, 100, Vec::new()), NOW);
    let ready = ObjectState::Worker(worker("i-1", 1, 1, WorkerState::Ready));
    view.apply(
        change(Topic::Workers, false, 101, vec![(101, ready.clone())]),
        NOW,
    );
    view.apply(restored(Topic::Workers, true, 92, vec![(90, ready)]), NOW);
    let draining = ObjectState::Worker(worker("i-1", 1, 2, WorkerState::Draining));
    let effects = view.apply(
        restored(Topic::Workers, false, 93, vec![(93, draining)]),
        NOW,
    );
    assert!(
        matches!(&effects[..], [Effect::Worker(worker)] if worker.state == WorkerState::Draining)
    );
    assert_eq!(view.revs().workers, Rev::new(Era(1), 93));
}

#[test]
fn a_change_of_the_old_era_that_comes_late_is_ignored() {
    let mut view = View::default();
    view.apply(restored(Topic::Evacuations, true, 5, Vec::new()), NOW);
    let late = vec![(99, ObjectState::Evacuated("a".into()))];
    assert!(
        view.apply(change(Topic::Evacuations, true, 99, late), NOW)
            .is_empty()
    );
    assert!(!view.is_evacuated("a"));
}

#[test]
fn an_older_copy_does_not_bring_workers_back() {
    let entry = |state| ObjectState::Worker(worker("i-1", 1, 3, state));
    let removed = ObjectState::WorkerRemoved("i-1".into(), Departure::Left);
    // It was draining; it had been reborn; it had gone.
    let reborn = ObjectState::Worker(worker("i-1", 2, 1, WorkerState::Draining));
    for last in [entry(WorkerState::Draining), reborn, removed] {
        let mut view = View::default();
        let first = vec![(3, entry(WorkerState::Ready))];
        view.apply(change(Topic::Workers, true, 3, first), NOW);
        view.apply(
            change(Topic::Workers, false, 9, vec![(9, last.clone())]),
            NOW,
        );
        let copy = vec![(3, entry(WorkerState::Ready))];
        let effects = view.apply(restored(Topic::Workers, true, 4, copy), NOW);
        let used = |effect: &Effect| matches!(effect, Effect::Worker(_));
        assert!(!effects.iter().any(used), "{last:?}");
        let soon = view.settle(NOW + Span::millis(2_900));
        assert!(!soon.iter().any(used), "{last:?}");
    }
}

/// Its entry is there for good, so the worker may be.
#[test]
fn a_worker_that_left_is_used_again_if_its_copied_entry_stays() {
    let entry = || ObjectState::Worker(worker("i-1", 1, 3, WorkerState::Ready));
    let removed = || ObjectState::WorkerRemoved("i-1".into(), Departure::Left);
    let mut view = View::default();
    view.apply(change(Topic::Workers, true, 3, vec![(3, entry())]), NOW);
    view.apply(change(Topic::Workers, false, 9, vec![(9, removed())]), NOW);
    view.apply(restored(Topic::Workers, true, 4, vec![(3, entry())]), NOW);
    let mut removed_again = view.clone();
    removed_again.apply(
        restored(Topic::Workers, false, 5, vec![(5, removed())]),
        NOW,
    );
    assert!(removed_again.settle(NOW + Span::secs(3)).is_empty());
    let effects = view.settle(NOW + Span::secs(3));
    assert!(matches!(&effects[..], [Effect::Worker(_)]), "{effects:?}");
}

#[test]
fn a_worker_that_an_older_copy_lacks_has_lapsed_until_it_writes_again() {
    let mut view = View::default();
    let entry = |heartbeats| ObjectState::Worker(worker("i-1", 1, heartbeats, WorkerState::Ready));
    view.apply(change(Topic::Workers, true, 9, vec![(9, entry(3))]), NOW);
    let mut copy = restored(Topic::Workers, true, 4, Vec::new());
    copy.absent_departure = Departure::Lapsed;
    let effects = view.apply(copy, NOW);
    assert_eq!(
        effects,
        [Effect::WorkerRemoved("i-1".into(), Departure::Lapsed)]
    );
    // It may write the very entry that was lost.
    view.apply(restored(Topic::Workers, false, 5, vec![(5, entry(3))]), NOW);
    assert_eq!(worker_ids(&view), ["i-1"]);
}

#[test]
fn an_evacuation_holds_against_an_older_copy_for_a_while() {
    let evacuated = ObjectState::Evacuated("a".into());
    let mut view = View::default();
    view.apply(
        change(Topic::Evacuations, true, 9, vec![(9, evacuated.clone())]),
        NOW,
    );
    assert!(
        view.apply(restored(Topic::Evacuations, true, 4, Vec::new()), NOW)
            .is_empty()
    );
    assert!(view.settle(NOW + Span::millis(2_900)).is_empty());
    let mut unwritten = view.clone();
    assert_eq!(
        unwritten.settle(NOW + Span::secs(3)),
        [Effect::Evacuation("a".into(), false)]
    );
    // Once the operator has written it again, it holds.
    view.apply(
        restored(Topic::Evacuations, false, 5, vec![(5, evacuated)]),
        NOW,
    );
    assert!(view.settle(NOW + Span::secs(3)).is_empty());
    assert!(view.is_evacuated("a"));
    // An end that the operator writes takes effect at once.
    let ended = vec![(6, ObjectState::Returned("a".into()))];
    let effects = view.apply(restored(Topic::Evacuations, false, 6, ended), NOW);
    assert_eq!(effects, [Effect::Evacuation("a".into(), false)]);
}

#[test]
fn an_evacuation_that_ended_holds_against_an_older_copy_for_a_while() {
    let evacuated = || vec![(3, ObjectState::Evacuated("a".into()))];
    let ended = || vec![(9, ObjectState::Returned("a".into()))];
    let mut view = View::default();
    view.apply(change(Topic::Evacuations, true, 3, evacuated()), NOW);
    view.apply(change(Topic::Evacuations, false, 9, ended()), NOW);
    assert!(
        view.apply(restored(Topic::Evacuations, true, 4, evacuated()), NOW)
            .is_empty()
    );
    assert!(view.settle(NOW + Span::millis(2_900)).is_empty());
    let mut unwritten = view.clone();
    assert_eq!(
        unwritten.settle(NOW + Span::secs(3)),
        [Effect::Evacuation("a".into(), true)]
    );
    view.apply(restored(Topic::Evacuations, false, 9, ended()), NOW);
    assert!(view.settle(NOW + Span::secs(3)).is_empty());
    // An evacuation that the operator begins takes effect at once.
    let begun = vec![(10, ObjectState::Evacuated("a".into()))];
    let effects = view.apply(restored(Topic::Evacuations, false, 10, begun), NOW);
    assert_eq!(effects, [Effect::Evacuation("a".into(), true)]);
}

#[test]
fn a_configuration_never_goes_back_to_the_one_of_an_older_copy() {
    let mut view = View::default();
    view.apply(change(Topic::Config, true, 9, vec![(9, config(7))]), NOW);
    assert!(
        view.apply(restored(Topic::Config, true, 4, vec![(2, config(5))]), NOW)
            .is_empty()
    );
    let effects = view.apply(restored(Topic::Config, false, 5, vec![(5, config(8))]), NOW);
    assert_eq!(effects, [Effect::Config(8)]);
}

/// A peer of the old era gets what the store says and compares it with what it knows itself.
#[test]
fn a_peer_of_the_old_era_gets_the_full_lists() {
    let evacuated = |name: &str| ObjectState::Evacuated(name.into());
    let first = || vec![(3, evacuated("a")), (4, evacuated("b"))];
    let mut view = View::default();
    view.apply(change(Topic::Evacuations, true, 9, first()), NOW);
    let mut peer = view.clone();
    view.apply(
        restored(Topic::Evacuations, true, 3, vec![(3, evacuated("a"))]),
        NOW,
    );
    let changes = view.changes_since(&peer.revs());
    assert_eq!(changes.len(), 1);
    assert!(changes[0].full);
    for change in changes {
        assert!(peer.apply(change, NOW).is_empty());
    }
    assert_eq!(peer.revs(), view.revs());
    for view in [&mut view, &mut peer] {
        assert_eq!(
            view.settle(NOW + Span::secs(3)),
            [Effect::Evacuation("b".into(), false)]
        );
    }
}

#[test]
fn a_late_repeat_of_a_removal_lowers_no_revision() {
    let removed = || ObjectState::WorkerRemoved("i-1".into(), Departure::Left);
    let mut view = View::default();
    view.apply(change(Topic::Workers, false, 9, vec![(9, removed())]), NOW);
    view.apply(change(Topic::Workers, false, 5, vec![(5, removed())]), NOW);
    let late = ObjectState::Worker(worker("i-1", 1, 1, WorkerState::Ready));
    assert!(
        view.apply(change(Topic::Workers, false, 7, vec![(7, late)]), NOW)
            .is_empty()
    );
    let ended = || ObjectState::Returned("a".into());
    view.apply(
        change(Topic::Evacuations, false, 9, vec![(9, ended())]),
        NOW,
    );
    view.apply(
        change(Topic::Evacuations, false, 5, vec![(5, ended())]),
        NOW,
    );
    let late = ObjectState::Evacuated("a".into());
    assert!(
        view.apply(change(Topic::Evacuations, false, 7, vec![(7, late)]), NOW)
            .is_empty()
    );
}
