//! Requests to a service whose version is being rolled out.

use {
    crate::harness::{Harness, idle_health, route, worker},
    call::{AttemptEnding, CallAction},
    rollout::{Conditions, Lane, Params, Phase, Rollout},
    site::{RolloutState, RouteKind, Worker},
    std::sync::Arc,
    unit::{Span, Time},
};

fn object(state: Option<RolloutState>) -> site::Rollout {
    site::Rollout {
        created: 1,
        duration: Span::secs(60),
        name: "s".into(),
        service: "s".into(),
        state,
        target: "v2".into(),
    }
}

/// A dispatcher with the old worker `x` and the new ones `n1` and `n2`, which get some requests.
fn harness() -> Harness {
    let mut harness = Harness::new(&["x"]);
    for id in ["n1", "n2"] {
        let new = Worker {
            version: "v2".into(),
            ..worker(id)
        };
        harness.dispatcher.table.upsert(new, harness.now);
    }
    let params = Params {
        share: 1.0,
        slack: 50.0,
        rollback: Span::secs(5),
    };
    let mut rng = fastrand::Rng::with_seed(1);
    let rollout = Rollout::new(object(None), params, harness.now, &mut rng);
    harness.dispatcher.rollouts.insert("s".into(), rollout);
    tick(&mut harness, Lane::Canary, Lane::Open);
    harness
}

fn tick(harness: &mut Harness, new: Lane, old: Lane) {
    let conditions = Conditions {
        alive: 1,
        registered: 1,
        staleness: Span::ZERO,
    };
    let now: Time = harness.now;
    let rollouts = harness.dispatcher.rollouts.values_mut();
    rollouts.for_each(|rollout| rollout.tick(now, conditions, 0));
    let lane = |worker: &Worker| if &*worker.version == "v2" { new } else { old };
    harness.dispatcher.table.set_lanes(lane);
}

/// Serves requests until one is meant for the new worker; returns the link of its probe.
fn probe_canary(harness: &mut Harness) -> call::LinkId {
    let route = Arc::new(route("r", RouteKind::Idempotent));
    for _ in 0..100 {
        // Within the limits on probes.
        harness.advance(Span::millis(100));
        tick(harness, Lane::Canary, Lane::Open);
        harness.actions.clear();
        harness.arrive(&route);
        let link = harness.next_probe();
        if harness.worker_id(link).starts_with('n') {
            return link;
        }
        harness.answer_probe(link, idle_health());
        harness.end_attempt(link, AttemptEnding::Served);
    }
    panic!("no request was meant for the new worker");
}

#[test]
fn a_part_of_the_requests_goes_to_the_target_version_and_is_counted() {
    let mut harness = harness();
    let link = probe_canary(&mut harness);
    harness.answer_probe(link, idle_health());
    harness.end_attempt(link, AttemptEnding::Served);
    let (requests, exposed) = harness.dispatcher.rollouts["s"].exposure();
    assert!(requests > 1 && exposed == 1, "{requests} {exposed}");
}

#[test]
fn a_request_that_failed_at_the_target_version_is_retried_at_another_one() {
    // Guards against a bad version that gets the retries of the requests that it failed.
    let mut harness = harness();
    let link = probe_canary(&mut harness);
    harness.answer_probe(link, idle_health());
    harness.actions.clear();
    harness.end_attempt(link, AttemptEnding::Failed);
    let retry = harness.next_probe();
    assert_eq!(&*harness.worker_id(retry), "x");
}

#[test]
fn a_request_goes_to_another_version_where_no_new_worker_can_be_reached() {
    // Guards against requests that fail because the few new workers are down or full.
    let mut harness = harness();
    let link = probe_canary(&mut harness);
    harness.fail_probe(link);
    let second = harness.next_probe();
    assert!(harness.worker_id(second).starts_with('n'));
    harness.fail_probe(second);
    let other = harness.next_probe();
    assert_eq!(&*harness.worker_id(other), "x");
}

#[test]
fn a_request_that_was_ready_for_the_target_version_is_not_sent_after_the_rollback() {
    // Guards against requests that were on their way to the new worker when the verdict came.
    let mut harness = harness();
    let link = probe_canary(&mut harness);
    let rollout = harness.dispatcher.rollouts.get_mut("s").expect("a rollout");
    rollout.update(object(Some(RolloutState::RolledBack)));
    assert_eq!(rollout.phase(), Phase::RolledBack);
    // Before and after the workers' lanes follow the verdict.
    harness.answer_probe(link, idle_health());
    assert_eq!(count_sends(&harness), 0);
    tick(&mut harness, Lane::Held, Lane::Open);
    assert_eq!(count_sends(&harness), 0);
}

fn count_sends(harness: &Harness) -> usize {
    let sends = harness.actions.iter();
    sends
        .filter(|action| matches!(action, CallAction::Send(..)))
        .count()
}

#[test]
fn a_held_worker_gets_no_request_even_if_there_is_no_other() {
    // Guards against requests to a version of which a rollout may be unknown.
    let mut harness = Harness::new(&["x"]);
    harness.dispatcher.table.set_lanes(|_| Lane::Held);
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let probes = harness.actions.iter();
    let mut probes = probes.filter(|action| matches!(action, CallAction::Probe { .. }));
    assert_eq!(probes.next(), None);
}
