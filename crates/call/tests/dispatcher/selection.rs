//! Worker selection by health probes, and the weighted split of a route.

use {
    crate::harness::{Harness, bounds, health, idle_health, route},
    call::{AttemptEnding, CallAction, Policy},
    site::{RouteKind, Target},
    std::sync::Arc,
    unit::{Map, Name, Span},
};

#[test]
fn sends_to_the_first_worker_with_room_on_the_connection_of_the_probe() {
    let mut harness = Harness::new(&["x", "y"]);
    let call = harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let link = harness.next_probe();
    harness.answer_probe(link, idle_health());
    assert_eq!(
        harness.next_action(),
        CallAction::Send(call, link, Span::millis(800))
    );
    harness.end_attempt(link, AttemptEnding::Served);
    assert_eq!(harness.next_action(), CallAction::Deliver(call, link));
    assert!(harness.dispatcher.is_empty() && harness.actions.is_empty());
}

#[test]
fn sends_the_time_left_of_the_shorter_timeout() {
    let mut harness = Harness::new(&["x"]);
    let mut route = route("r", RouteKind::Idempotent);
    route.timeout = Span::secs(9);
    let call = harness.arrive(&Arc::new(route));
    let link = harness.next_probe();
    harness.advance(Span::millis(30));
    harness.answer_probe(link, idle_health());
    assert_eq!(
        harness.next_action(),
        CallAction::Send(call, link, Span::millis(970))
    );
}

#[test]
fn probes_further_workers_after_a_slow_one_and_takes_the_best() {
    let mut harness = Harness::new(&["x", "y"]);
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let slow = harness.next_probe();
    harness.answer_probe(slow, health(0, 0, 500));
    let idle = harness.next_probe();
    harness.answer_probe(idle, idle_health());
    assert_eq!(harness.next_action(), CallAction::Release(slow));
    assert_eq!(harness.next_send(), idle);
}

#[test]
fn backs_off_for_a_better_worker_only_while_the_objective_can_be_met() {
    let mut harness = Harness::new(&["x"]);
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let slow = health(0, 0, 500);
    let others = harness.advance_answering(Span::millis(60), &slow);
    assert!(others.is_empty(), "{others:?}");
    let others = harness.advance_answering(Span::millis(200), &slow);
    assert!(matches!(others[0], CallAction::Send(..)), "{others:?}");
}

#[test]
fn probes_the_next_worker_if_one_does_not_answer_in_time() {
    let mut harness = Harness::new(&["x", "y"]);
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let first = harness.next_probe();
    harness.advance(Span::millis(40));
    assert_eq!(harness.next_action(), CallAction::AbandonProbe(first));
    let second = harness.next_probe();
    assert_ne!(harness.worker_id(first), harness.worker_id(second));
    // A late response to the abandoned probe has no effect.
    harness.answer_probe(first, idle_health());
    assert!(harness.actions.is_empty());
}

#[test]
fn never_sends_to_a_worker_that_reports_another_id() {
    let mut harness = Harness::new(&["x"]);
    harness.arrive(&Arc::new(route("r", RouteKind::AtMostOnce)));
    let link = harness.next_probe();
    let mut other = idle_health();
    other.id = Some("z".into());
    harness.answer_probe(link, other);
    assert_eq!(harness.next_action(), CallAction::Close(link));
    let others = harness.advance_answering(Span::secs(1), &{
        let mut other = idle_health();
        other.id = Some("z".into());
        other
    });
    assert!(
        !others
            .iter()
            .any(|action| matches!(action, CallAction::Send(..)))
    );
}

/// Each of many daemons sees few requests, so their splits must not all begin with the same service.
#[test]
fn splits_requests_of_a_large_fleet_by_weight() {
    const DAEMONS: u64 = 1_000;
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    for weights in [[50, 50], [90, 10], [1, 3], [700_000, 300_000]] {
        let mut route = route("r", RouteKind::Download);
        route.targets = vec![target("s", weights[0]), target("t", weights[1])];
        let route = Arc::new(route);
        let mut first = 0;
        for seed in 0..DAEMONS {
            let mut harness = Harness::with_seed(&[], Policy::new(bounds()), seed);
            let mut worker = crate::harness::worker("w");
            for service in ["s", "t"] {
                worker.id = service.into();
                worker.service = service.into();
                harness.dispatcher.table.upsert(worker.clone(), harness.now);
            }
            harness.arrive(&route);
            let link = harness.next_probe();
            first += u32::from(&*harness.worker_id(link) == "s");
        }
        let share = f64::from(first) / DAEMONS as f64;
        let wanted = f64::from(weights[0]) / f64::from(weights[0] + weights[1]);
        assert!((share - wanted).abs() < 0.05, "{weights:?}: {share}");
    }
}

#[test]
fn splits_requests_by_weight_at_any_time() {
    let mut harness = Harness::new(&[]);
    let mut route = route("r", RouteKind::Idempotent);
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    route.targets = vec![target("s", 90), target("t", 10)];
    let route = Arc::new(route);
    let mut workers = Vec::new();
    for service in ["s", "t"] {
        let mut worker = crate::harness::worker(service);
        worker.service = service.into();
        workers.push(harness.dispatcher.table.upsert(worker, harness.now));
    }
    let mut counts: Map<Name, u32> = Map::default();
    for round in 1..=200 {
        harness.advance(Span::millis(20));
        harness.arrive(&route);
        let link = harness.next_probe();
        *counts.entry(harness.worker_id(link)).or_default() += 1;
        harness.answer_probe(link, idle_health());
        assert_eq!(harness.next_send(), link);
        harness.end_attempt(link, AttemptEnding::Served);
        harness.next_action();
        let tenth = counts.get("t").copied().unwrap_or_default();
        assert!(tenth.abs_diff(round / 10) <= 1, "{tenth} of {round}");
    }
}
