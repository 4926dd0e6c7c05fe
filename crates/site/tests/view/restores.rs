//! A store that comes back from an older copy, in a new era.

use {
    crate::harness::{NOW, change, config, restored, worker, worker_ids},
    site::{Departure, Effect, Era, ObjectState, Rev, Topic, View, WorkerState},
    unit::Span,
};

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
