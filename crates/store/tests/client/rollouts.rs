//! Rollouts in the store: watched where they are enabled, their states written.

use {
    crate::harness::{Harness, at_rev, is_watch},
    platform::{StoreCall, StoreReply},
    site::{Rollout, RolloutState, Topic, Versioned},
    store::{Role, StoreCallError},
    unit::Span,
};

fn rollout() -> Versioned<Rollout> {
    Versioned {
        rev: at_rev(9),
        value: Rollout {
            created: 4,
            duration: Span::secs(60),
            name: "s".into(),
            service: "s".into(),
            state: None,
            target: "v2".into(),
        },
    }
}

/// A watcher that watches the rollouts too.
fn watching() -> Harness {
    let mut harness = Harness::registered();
    harness.client.follow_rollouts();
    for topic in Topic::WITH_OPTIONAL {
        harness.revs.raise(topic, at_rev(5));
    }
    harness.set_role(Role::Watcher);
    harness.advance(Span::ZERO);
    harness
}

#[test]
fn rollouts_are_watched_only_where_they_are_enabled() {
    // Guards against calls for a kind of object that a deployment doesn't have.
    assert!(!Harness::watching().is_pending(is_watch(Topic::Rollouts)));
    assert!(watching().is_pending(is_watch(Topic::Rollouts)));
}

#[test]
fn a_refresh_asks_at_once_and_only_once_until_it_is_answered() {
    // Guards against workers that wait for a whole watch, and against a call at each tick.
    let mut harness = watching();
    let actions = harness.client.refresh(Topic::Rollouts, harness.now);
    harness.apply(actions);
    harness.advance(Span::ZERO);
    let immediate = |call: &StoreCall| matches!(call, StoreCall::Watch { topic: Topic::Rollouts, wait, .. } if *wait == Span::ZERO);
    assert!(harness.is_pending(immediate));
    harness.complete(immediate, Ok(StoreReply::Events(Vec::new(), at_rev(40))));
    assert_eq!(harness.client.watched_rev(Topic::Rollouts), at_rev(40));
    harness.advance(Span::millis(400));
    assert!(!harness.is_pending(immediate));
    assert!(harness.is_pending(is_watch(Topic::Rollouts)));
}

#[test]
fn a_state_is_written_with_the_revision_and_a_lost_answer_leaves_the_client_working() {
    let mut harness = watching();
    let is_write = |call: &StoreCall| {
        matches!(call, StoreCall::PutRolloutState { rev, state: RolloutState::Completed, .. }
            if *rev == at_rev(9))
    };
    for result in [
        Err(StoreCallError::Timeout),
        Ok(StoreReply::Refused(503)),
        Ok(StoreReply::Conflict),
        Ok(StoreReply::Done),
    ] {
        let actions = harness
            .client
            .write_rollout(&rollout(), RolloutState::Completed);
        harness.apply(actions);
        harness.complete(is_write, result);
        assert!(harness.is_pending(is_watch(Topic::Rollouts)));
    }
}
