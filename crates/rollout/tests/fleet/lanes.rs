//! Which workers may get requests, by their version.

use {
    crate::simulation::{PARAMS, object},
    rollout::{Lane, Rollout, Versions},
    site::{Era, Rev, Rollout as Object, RolloutState},
    unit::{Name, Set, Span, Time},
};

const NOW: Time = Time::ZERO;

fn rev(number: u64) -> Rev {
    Rev::new(Era::default(), number)
}

fn rollout(state: RolloutState) -> Rollout {
    let object = Object {
        state: Some(state),
        ..object(Span::secs(60))
    };
    Rollout::new(object, PARAMS, NOW, &mut fastrand::Rng::with_seed(1))
}

/// The lane of a worker's version where it isn't one of the canaries.
fn lane(versions: &Versions, version: &str, rollout: Option<&Rollout>) -> Lane {
    versions.lane(NOW, &service(), &version.into(), rollout, false)
}

fn service() -> Name {
    "s".into()
}

#[test]
fn a_worker_of_an_unknown_version_waits_until_rollouts_are_known_up_to_its_entry() {
    // Guards against requests to a target version by a daemon that doesn't know its rollout yet.
    let mut versions = Versions::default();
    versions.record_entry(&service(), &"v1".into(), rev(5), rev(9));
    versions.record_entry(&service(), &"v2".into(), rev(12), rev(9));
    assert_eq!(lane(&versions, "v1", None), Lane::Open);
    assert_eq!(lane(&versions, "v2", None), Lane::Held);
    versions.record_entry(&service(), &"v2".into(), rev(12), rev(12));
    assert_eq!(lane(&versions, "v2", None), Lane::Open);
}

#[test]
fn the_target_of_a_rollout_is_held_or_a_canary_though_its_version_is_established() {
    // Guards against a second rollout to a version that was in use before.
    let mut versions = Versions::default();
    for version in ["v1", "v2"] {
        versions.establish(&service(), &version.into());
    }
    let running = rollout(RolloutState::Running);
    assert_eq!(lane(&versions, "v2", Some(&running)), Lane::Held);
    assert_eq!(lane(&versions, "v1", Some(&running)), Lane::Open);
    let canary = versions.lane(NOW, &service(), &"v2".into(), Some(&running), true);
    assert_eq!(canary, Lane::Canary);
    let back = rollout(RolloutState::RolledBack);
    assert_eq!(lane(&versions, "v2", Some(&back)), Lane::Held);
}

#[test]
fn the_old_versions_are_left_out_after_a_completed_rollout_and_a_later_one_is_not() {
    // Guards against requests to workers that are stopped without draining, and against a release
    // without a rollout object that gets no requests since an old rollout's object still stands.
    let mut versions = Versions::default();
    versions.establish(&service(), &"v1".into());
    let done = rollout(RolloutState::Completed);
    let present: Set<Name> = ["v1", "v2"].map(Name::from).into_iter().collect();
    versions.complete(NOW, &done, Some(present));
    assert_eq!(lane(&versions, "v1", Some(&done)), Lane::Held);
    assert_eq!(lane(&versions, "v2", Some(&done)), Lane::Open);
    versions.record_entry(&service(), &"v3".into(), rev(3), rev(3));
    assert_eq!(lane(&versions, "v3", Some(&done)), Lane::Open);
}

#[test]
fn a_daemon_that_starts_after_a_completed_rollout_leaves_other_versions_out_while_the_target_is_there()
 {
    // Guards against a restarted daemon that finds the old workers' entries before they are removed.
    let mut versions = Versions::default();
    let done = rollout(RolloutState::Completed);
    versions.complete(NOW, &done, None);
    versions.establish(&service(), &"v1".into());
    assert_eq!(lane(&versions, "v1", Some(&done)), Lane::Held);
    let both: Set<Name> = ["v1", "v2"].map(Name::from).into_iter().collect();
    versions.retain(NOW, &service(), &both);
    assert_eq!(lane(&versions, "v1", Some(&done)), Lane::Held);
    let later: Set<Name> = ["v3"].map(Name::from).into_iter().collect();
    versions.retain(NOW, &service(), &later);
    versions.establish(&service(), &"v3".into());
    assert_eq!(lane(&versions, "v3", Some(&done)), Lane::Open);
}

#[test]
fn the_target_of_a_rollout_whose_object_was_removed_gets_nothing() {
    // Guards against a bad version that is used like any other once its rollout is cancelled.
    let mut versions = Versions::default();
    versions.establish(&service(), &"v2".into());
    versions.remove(&rollout(RolloutState::Running));
    versions.record_entry(&service(), &"v2".into(), rev(1), rev(9));
    assert_eq!(lane(&versions, "v2", None), Lane::Held);
    versions.retain(NOW, &service(), &Set::default());
    versions.record_entry(&service(), &"v2".into(), rev(10), rev(10));
    assert_eq!(lane(&versions, "v2", None), Lane::Open);
}
