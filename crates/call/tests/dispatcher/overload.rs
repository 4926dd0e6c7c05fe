//! Overload: full workers, priorities, and more requests than health probes.

use {
    crate::harness::{Harness, bounds, health, route},
    call::{AttemptEnding, CallAction, CallError, CallEvent, Policy},
    site::{Config, Route, RouteKind},
    std::sync::Arc,
    unit::{Name, Span},
};

#[test]
fn a_request_that_finds_no_room_is_refused_in_time_for_its_caller_to_retry() {
    let mut harness = Harness::new(&["x", "y"]);
    harness.arrive(&Arc::new(route("r", RouteKind::AtMostOnce)));
    let full = health(4, 8, 100);
    let others = harness.advance_answering(Span::millis(200), &full);
    assert_eq!(others.len(), 1, "{others:?}");
    let CallAction::Fail(_, CallError::NotRun(span)) = others[0] else {
        panic!("{others:?}");
    };
    assert!(span > Span::ZERO && span <= Span::millis(200));
}

#[test]
fn a_request_to_a_service_without_workers_is_refused_at_once() {
    let mut harness = Harness::new(&[]);
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    assert!(matches!(harness.next_error(), CallError::NotRun(_)));
}

/// A harness with one worker, and a route for each of the priorities.
fn with_priorities(priorities: &[u32]) -> (Harness, Vec<Arc<Route>>) {
    let mut harness = Harness::new(&["x"]);
    let mut config = Config::default();
    let mut routes = Vec::new();
    for priority in priorities {
        let mut route = route(&format!("priority-{priority}"), RouteKind::AtMostOnce);
        route.priority = *priority;
        config.add_route("h", route.clone());
        routes.push(Arc::new(route));
    }
    harness.dispatcher.configure(Arc::new(config));
    (harness, routes)
}

/// Whether a request is sent to a worker whose slots are all busy and that has one request queued.
fn sent_to_busy_worker(harness: &mut Harness, route: &Arc<Route>) -> bool {
    harness.arrive(route);
    let others = harness.advance_answering(Span::millis(250), &health(4, 1, 100));
    match others[..] {
        [CallAction::Send(..)] => true,
        [CallAction::Fail(..)] => false,
        _ => panic!("{others:?}"),
    }
}

#[test]
fn only_requests_above_the_lowest_priority_queue_at_a_worker() {
    let (mut harness, routes) = with_priorities(&[1, 2]);
    assert!(sent_to_busy_worker(&mut harness, &routes[0]));
    assert!(!sent_to_busy_worker(&mut harness, &routes[1]));
}

#[test]
fn a_route_of_the_highest_priority_does_not_demote_the_next_one() {
    let (mut harness, routes) = with_priorities(&[0, 1, 2]);
    assert!(sent_to_busy_worker(&mut harness, &routes[0]));
    assert!(sent_to_busy_worker(&mut harness, &routes[1]));
    assert!(!sent_to_busy_worker(&mut harness, &routes[2]));
}

#[test]
fn requests_of_a_single_priority_all_need_a_free_slot() {
    let (mut harness, routes) = with_priorities(&[1]);
    assert!(!sent_to_busy_worker(&mut harness, &routes[0]));
}

#[test]
fn even_the_highest_priority_never_fills_a_workers_queue() {
    let (mut harness, routes) = with_priorities(&[1, 2]);
    harness.arrive(&routes[0]);
    let others = harness.advance_answering(Span::millis(250), &health(4, 2, 100));
    assert!(matches!(others[..], [CallAction::Fail(..)]), "{others:?}");
}

#[test]
fn requests_beyond_the_probe_limit_are_sent_without_a_probe() {
    let mut policy = Policy::new(bounds());
    policy.bounds.probe_rate = 60.0;
    let mut harness = Harness::with_policy(&["x", "y"], policy);
    let route = Arc::new(route("r", RouteKind::AtMostOnce));
    let (mut probes, mut connects, mut served, mut refused) = (0, 0, 0, 0);
    for _ in 0..400 {
        harness.advance(Span::millis(5));
        harness.arrive(&route);
        while !harness.actions.is_empty() {
            match harness.next_action() {
                CallAction::Probe { link, .. } => {
                    probes += 1;
                    harness.answer_probe(link, health(0, 0, 100));
                }
                CallAction::Connect { link, .. } => {
                    connects += 1;
                    harness.handle(CallEvent::ConnectEnded(link, Ok(())));
                }
                CallAction::Send(_, link, _) => harness.end_attempt(link, AttemptEnding::Served),
                CallAction::Deliver(..) => served += 1,
                CallAction::Fail(..) => refused += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    assert!(probes <= 2 * (60 * 4 + 600), "{probes}");
    assert!(connects > 100, "{connects}");
    // Each second, one worker gets at most 18 probes, each with the request that it was sent for
    // and two more after it, and 23 requests as if it were cold.
    assert!(served >= 390 && refused <= 4, "{served} {refused}");
}

/// Guards against a daemon that stands still while it selects workers: deadlines and the ends of
/// callers' connections wait meanwhile.
#[test]
fn selection_in_a_large_fleet_looks_at_each_worker_a_few_times_only() {
    const WORKERS: usize = 414;
    const DAEMONS: usize = 472;
    /// One pass over the workers each: for a probe, for a worker without one, and to give up.
    const MAX_PASSES: u64 = 3;
    let ids: Vec<String> = (0..WORKERS).map(|at| format!("i-{at}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut policy = Policy::new(bounds());
    policy.bounds.probe_rate = 60.0;
    let mut harness = Harness::with_policy(&ids, policy);
    let others: Vec<Name> = (1..DAEMONS)
        .map(|at| format!("front-{at}").into())
        .collect();
    let centre = Name::from("a");
    let members = others.iter().map(|name| (name, &centre));
    harness.dispatcher.table.set_members(members);
    let route = Arc::new(route("r", RouteKind::Idempotent));
    let full = health(4, 8, 100);
    let mut most = 0;
    for _ in 0..40 {
        harness.arrive(&route);
        let end = harness.now + Span::millis(20);
        loop {
            let before = harness.dispatcher.table.examined();
            let probe = harness.actions.iter().find_map(|action| match action {
                CallAction::Probe { link, .. } => Some(*link),
                _ => None,
            });
            harness.actions.clear();
            let tick = harness.dispatcher.next_tick().filter(|at| *at <= end);
            match (probe, tick) {
                (Some(link), _) => harness.answer_probe(link, full.clone()),
                (None, Some(at)) => {
                    harness.now = harness.now.max(at);
                    let due = harness.dispatcher.next_tick();
                    harness.handle(CallEvent::Tick);
                    assert_ne!(harness.dispatcher.next_tick(), due, "the timer has run");
                }
                (None, None) => break,
            }
            most = most.max(harness.dispatcher.table.examined() - before);
        }
        harness.now = end;
    }
    let bound = MAX_PASSES * (WORKERS + DAEMONS) as u64;
    assert!(
        most <= bound,
        "{most} entries for one event, {bound} allowed"
    );
}
