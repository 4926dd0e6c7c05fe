//! Requests that wait for a worker of their own data centre, or leave it.

use {
    crate::harness::{Harness, bounds, health, idle_health, route, worker},
    call::{AttemptEnding, CallAction, LinkId, Policy},
    site::{Route, RouteKind, Worker, WorkerState},
    std::sync::Arc,
    unit::Span,
};

/// Bytes that cost half of what a response is worth.
const EXPENSIVE: usize = 100_000;

/// A dispatcher of data centre `a` with one worker there, `local`, and one elsewhere, `remote`.
fn harness(price: Option<&str>) -> Harness {
    let policy = Policy {
        transfer_price: price.map(|price| price.parse().expect("a price")),
        ..Policy::new(bounds())
    };
    let mut harness = Harness::with_policy(&["local"], policy);
    let remote = Worker {
        centre: "b".into(),
        ..worker("remote")
    };
    harness.dispatcher.table.upsert(remote, harness.now);
    harness
}

fn slow_route() -> Arc<Route> {
    Arc::new(Route {
        objective: Span::secs(2),
        timeout: Span::secs(4),
        ..route("r", RouteKind::Idempotent)
    })
}

/// Serves one request of the route, whose response has `bytes`, at the local worker.
fn record_bytes(harness: &mut Harness, route: &Arc<Route>, bytes: usize) {
    let link = harness.start_attempt(route);
    harness.dispatcher.record_transfer(link, bytes);
    harness.advance(Span::millis(100));
    harness.end_attempt(link, AttemptEnding::Served);
    harness.actions.clear();
}

/// Lets a request arrive while the local worker is full. Returns when it is sent to the remote one,
/// counted from its arrival.
fn time_to_leave(harness: &mut Harness, route: &Arc<Route>) -> Option<Span> {
    harness.advance(Span::secs(1));
    harness.arrive(route);
    let arrived = harness.now;
    for _ in 0..400 {
        while !harness.actions.is_empty() {
            match harness.next_action() {
                CallAction::Probe { link, .. } => answer(harness, link),
                CallAction::Send(_, link, _) => {
                    assert_eq!(&*harness.worker_id(link), "remote");
                    return Some(harness.now.since(arrived));
                }
                CallAction::Release(_) => {}
                _ => return None,
            }
        }
        harness.advance(Span::millis(5));
    }
    None
}

fn answer(harness: &mut Harness, link: LinkId) {
    let full = &*harness.worker_id(link) == "local";
    let answer = if full {
        health(4, 2, 100)
    } else {
        idle_health()
    };
    harness.answer_probe(link, answer);
}

#[test]
fn without_a_price_a_request_leaves_at_once() {
    let (mut harness, route) = (harness(None), slow_route());
    record_bytes(&mut harness, &route, EXPENSIVE);
    assert_eq!(time_to_leave(&mut harness, &route), Some(Span::ZERO));
}

#[test]
fn a_request_of_few_bytes_leaves_at_once() {
    // Guards against callers that wait for the sake of bytes that cost next to nothing.
    let (mut harness, route) = (harness(Some("5000")), slow_route());
    record_bytes(&mut harness, &route, 500);
    let waited = time_to_leave(&mut harness, &route).expect("it leaves");
    assert!(waited <= Span::millis(20), "{waited:?}");
}

#[test]
fn a_request_of_many_bytes_waits_for_its_own_data_centre_and_leaves_in_time() {
    // Guards against bytes that cost half of a response, and against a response that is late for
    // their sake.
    let (mut harness, route) = (harness(Some("5000")), slow_route());
    record_bytes(&mut harness, &route, EXPENSIVE);
    let waited = time_to_leave(&mut harness, &route).expect("it leaves");
    assert!(waited >= Span::millis(400), "{waited:?}");
    assert!(waited <= Span::millis(1_600), "{waited:?}");
    let counts = harness.dispatcher.leaving_counts();
    let count = counts.values().next().expect("a service");
    assert_eq!(count.sends, 1);
    assert!(count.held > 0);
}

#[test]
fn a_data_centre_without_usable_workers_holds_nothing() {
    // Guards against requests that wait for workers that are all leaving.
    let (mut harness, route) = (harness(Some("5000")), slow_route());
    record_bytes(&mut harness, &route, EXPENSIVE);
    let leaving = Worker {
        heartbeats: 2,
        state: WorkerState::Draining,
        ..worker("local")
    };
    harness.dispatcher.table.upsert(leaving, harness.now);
    harness.advance(Span::secs(3));
    assert_eq!(time_to_leave(&mut harness, &route), Some(Span::ZERO));
}

#[test]
fn a_worker_elsewhere_with_one_free_slot_gets_nothing() {
    // Guards against a neighbour that is filled up by requests of others.
    let (mut harness, route) = (harness(Some("0")), slow_route());
    harness.arrive(&route);
    for _ in 0..20 {
        while !harness.actions.is_empty() {
            match harness.next_action() {
                CallAction::Probe { link, .. } => {
                    let full = &*harness.worker_id(link) == "local";
                    let answer = if full {
                        health(4, 2, 100)
                    } else {
                        health(3, 0, 100)
                    };
                    harness.answer_probe(link, answer);
                }
                CallAction::Release(_) => {}
                other => panic!("{other:?}"),
            }
        }
        harness.advance(Span::millis(10));
    }
}
