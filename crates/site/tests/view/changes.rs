//! Changes within an era of the store.

use {
    crate::harness::{
        NOW, at_rev, change, config, removal_change, worker, worker_change, worker_ids,
    },
    site::{Departure, Effect, ObjectState, Revs, Topic, View, WorkerState},
    unit::Span,
};

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
