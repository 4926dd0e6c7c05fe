//! Load shedding: which requests are rejected without a wait.

use {
    crate::harness::{Harness, health, idle_health, route},
    call::{CallAction, CallError},
    site::{Route, RouteKind},
    std::sync::Arc,
    unit::Span,
};

/// How long a request waits for a worker before it is rejected, at most.
const WAIT: Span = Span::millis(200);

fn some_route(name: &str) -> Arc<Route> {
    Arc::new(route(name, RouteKind::AtMostOnce))
}

/// Has requests of a route wait in vain, one after the other, until the route's limit is low.
fn wait_in_vain(harness: &mut Harness, route: &Arc<Route>) {
    for _ in 0..8 {
        harness.arrive(route);
        harness.advance_answering(WAIT, &health(4, 8, 100));
    }
}

/// How many of ten requests of a route are rejected without a wait while all workers are full.
fn count_shed(harness: &mut Harness, route: &Arc<Route>) -> usize {
    let mut count = 0;
    for _ in 0..10 {
        let call = harness.arrive(route);
        let others = harness.advance_answering(Span::millis(5), &health(4, 8, 100));
        let rejected =
            |action: &CallAction| matches!(action, CallAction::Fail(failed, _) if *failed == call);
        count += usize::from(others.iter().any(rejected));
    }
    count
}

/// Guards against requests that wait for a worker although all before them waited in vain.
#[test]
fn requests_are_rejected_at_once_while_others_of_their_route_wait_in_vain() {
    let mut harness = Harness::new(&["x", "y"]);
    let route = some_route("r");
    assert_eq!(count_shed(&mut harness, &route), 0);
    wait_in_vain(&mut harness, &route);
    assert!(count_shed(&mut harness, &route) >= 5);
}

/// Guards against rejecting requests that can be served: one that finds a free worker is sent.
#[test]
fn a_request_that_finds_a_free_worker_is_not_rejected() {
    let mut harness = Harness::new(&["x", "y"]);
    let route = some_route("r");
    wait_in_vain(&mut harness, &route);
    for _ in 0..10 {
        harness.arrive(&route);
        let others = harness.advance_answering(Span::millis(5), &idle_health());
        assert!(matches!(others[..], [CallAction::Send(..)]), "{others:?}");
    }
}

/// Guards against a route that is rejected for the waits of another one, or for old ones.
#[test]
fn the_evidence_is_the_routes_own_and_recent() {
    let mut harness = Harness::new(&["x", "y"]);
    let route = some_route("r");
    wait_in_vain(&mut harness, &route);
    assert_eq!(count_shed(&mut harness, &some_route("other")), 0);
    harness.advance_answering(Span::secs(2), &health(4, 8, 100));
    assert_eq!(count_shed(&mut harness, &route), 0);
}

/// Guards against callers that return together: the delays differ, within the time for which such a
/// request would have waited.
#[test]
fn callers_that_are_rejected_together_return_spread() {
    let mut harness = Harness::new(&["x", "y"]);
    let route = some_route("r");
    wait_in_vain(&mut harness, &route);
    let mut delays = Vec::new();
    for _ in 0..30 {
        harness.arrive(&route);
        for action in harness.advance_answering(Span::millis(1), &health(4, 8, 100)) {
            if let CallAction::Fail(_, CallError::NotRun(delay)) = action {
                delays.push(delay);
            }
        }
    }
    let (least, most) = (delays.iter().min(), delays.iter().max());
    let (Some(least), Some(most)) = (least, most) else {
        panic!("none was rejected");
    };
    assert!(*least >= Span::millis(50), "{least:?}");
    assert!(*most <= Span::millis(150), "{most:?}");
    assert!(*most >= *least + Span::millis(50), "{least:?} {most:?}");
}
