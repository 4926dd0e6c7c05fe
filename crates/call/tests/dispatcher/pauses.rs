//! A process that was paused: what it knew before must be looked at again.

use {
    crate::harness::{Harness, bounds, health, idle_health, route},
    call::{CallAction, CallEvent, Policy},
    site::{HealthReport, RouteKind},
    std::sync::Arc,
    unit::Span,
};

/// A pause that ends within the request's deadline of 800 ms.
const PAUSE: Span = Span::millis(600);

fn is_send(action: &CallAction) -> bool {
    matches!(action, CallAction::Send(..))
}

/// Lets time pass without the timers that became due, which a paused process runs after the events
/// that wait for it.
fn pause(harness: &mut Harness) {
    harness.now = harness.now + PAUSE;
}

#[test]
fn the_response_to_a_probe_from_before_a_pause_grants_nothing() {
    let mut harness = Harness::new(&["x"]);
    harness.arrive(&Arc::new(route("r", RouteKind::AtMostOnce)));
    let link = harness.next_probe();
    pause(&mut harness);
    harness.answer_probe(link, idle_health());
    assert!(
        !harness.actions.iter().any(is_send),
        "{:?}",
        harness.actions
    );
}

#[test]
fn a_connection_made_ready_before_a_pause_is_not_sent_on() {
    let mut policy = Policy::new(bounds());
    policy.bounds.probe_rate = 0.0;
    let mut harness = Harness::with_policy(&["x"], policy);
    let read = Arc::new(route("r", RouteKind::Idempotent));
    harness.start_attempt(&read);
    harness.arrive(&read);
    let CallAction::Connect { link, .. } = harness.next_action() else {
        panic!("expected a connection without a probe");
    };
    pause(&mut harness);
    harness.handle(CallEvent::ConnectEnded(link, Ok(())));
    assert!(
        !harness.actions.iter().any(is_send),
        "{:?}",
        harness.actions
    );
}

#[test]
fn a_candidate_from_before_a_pause_is_probed_again() {
    let mut harness = Harness::new(&["x", "y"]);
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let first = harness.next_probe();
    let slow: HealthReport = health(3, 0, 900);
    harness.answer_probe(first, slow);
    harness.next_probe();
    pause(&mut harness);
    harness.handle(CallEvent::Tick);
    assert!(
        !harness.actions.iter().any(is_send),
        "{:?}",
        harness.actions
    );
}
