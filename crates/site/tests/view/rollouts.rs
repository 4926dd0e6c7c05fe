//! Rollouts in a daemon's view.

use {
    crate::harness::{NOW, at_rev, change},
    site::{Effect, ObjectState, Revs, Rollout, Topic, View},
    unit::Span,
};

fn rollout(target: &str) -> ObjectState {
    ObjectState::Rollout(Rollout {
        created: 1,
        duration: Span::secs(60),
        name: "s".into(),
        service: "s".into(),
        state: None,
        target: target.into(),
    })
}

fn targets(view: &View) -> Vec<String> {
    let rollouts = view.rollouts();
    rollouts
        .map(|rollout| rollout.value.target.to_string())
        .collect()
}

#[test]
fn an_event_that_is_older_than_a_known_list_changes_nothing() {
    // Guards against a removed rollout that comes back from a watch which lags behind peers.
    let mut view = View::default();
    let effects = view.apply(
        change(Topic::Rollouts, false, 5, vec![(5, rollout("v2"))]),
        NOW,
    );
    assert_eq!(effects, [Effect::Rollouts]);
    let effects = view.apply(change(Topic::Rollouts, true, 8, Vec::new()), NOW);
    assert_eq!(effects, [Effect::Rollouts]);
    let effects = view.apply(
        change(Topic::Rollouts, false, 6, vec![(6, rollout("v3"))]),
        NOW,
    );
    assert_eq!(effects, []);
    assert_eq!(targets(&view), Vec::<String>::new());
}

#[test]
fn an_object_that_can_no_longer_be_read_leaves_what_was_known_of_it() {
    // Guards against a rollout that is taken for removed, and whose version is then used.
    let mut view = View::default();
    view.apply(
        change(Topic::Rollouts, false, 5, vec![(5, rollout("v2"))]),
        NOW,
    );
    let unreadable = ObjectState::RolloutUnreadable("s".into());
    let effects = view.apply(change(Topic::Rollouts, true, 9, vec![(8, unreadable)]), NOW);
    assert_eq!(effects, []);
    assert_eq!(targets(&view), ["v2"]);
    assert_eq!(view.unreadable_rollouts().count(), 1);
    view.apply(
        change(Topic::Rollouts, false, 10, vec![(10, rollout("v3"))]),
        NOW,
    );
    assert_eq!(targets(&view), ["v3"]);
    assert_eq!(view.unreadable_rollouts().count(), 0);
}

#[test]
fn a_peer_gets_all_rollouts_and_only_if_they_changed() {
    let mut view = View::default();
    view.apply(
        change(Topic::Rollouts, false, 5, vec![(5, rollout("v2"))]),
        NOW,
    );
    let changes = view.changes_since(&Revs::default());
    assert!(
        changes
            .iter()
            .any(|change| change.full && change.items.len() == 1)
    );
    let mut known = Revs::default();
    known.raise(Topic::Rollouts, at_rev(5));
    assert_eq!(view.changes_since(&known), []);
}
