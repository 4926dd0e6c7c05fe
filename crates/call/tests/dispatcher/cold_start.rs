//! Requests to workers in their cold start.

use {
    crate::harness::{Harness, bounds, idle_health, route},
    call::{AttemptEnding, CallAction, CallEvent, Policy},
    site::{HealthReport, RouteKind},
    std::sync::Arc,
    unit::{Map, Name, Span},
};

fn cold_health() -> HealthReport {
    HealthReport {
        cold_remaining: Some(Span::secs(1)),
        ..idle_health()
    }
}

/// Registers twelve more daemons, so that the daemon under test is one of thirteen.
fn add_twelve_daemons(harness: &mut Harness) {
    let names = (1..13).map(|number| format!("front-b-{number}"));
    let members: Map<Name, Name> = names
        .map(|name| (name.as_str().into(), "b".into()))
        .collect();
    harness.dispatcher.table.set_members(members.iter());
}

#[test]
fn a_daemon_sends_a_cold_worker_no_more_than_its_share() {
    let mut harness = Harness::new(&["x"]);
    add_twelve_daemons(&mut harness);
    let route = Arc::new(route("r", RouteKind::Idempotent));
    let mut sent = 0;
    for _ in 0..50 {
        harness.arrive(&route);
        let actions = harness.advance_answering(Span::millis(19), &cold_health());
        sent += actions
            .iter()
            .filter(|action| matches!(action, CallAction::Send(..)))
            .count();
    }
    let limit = 14.0 * bounds().cold_factor + bounds().cold_slack;
    assert!((1..=2).contains(&sent), "{sent} of {limit}");
}

#[test]
fn a_worker_that_may_be_cold_since_its_last_probe_gets_no_more_than_a_cold_one() {
    let mut policy = Policy::new(bounds());
    policy.bounds.probe_rate = 4.0;
    let mut harness = Harness::with_policy(&["x"], policy);
    add_twelve_daemons(&mut harness);
    let route = Arc::new(route("r", RouteKind::Idempotent));
    let (mut probes, mut unprobed) = (0, 0);
    for _ in 0..100 {
        harness.advance(Span::millis(10));
        harness.arrive(&route);
        while !harness.actions.is_empty() {
            match harness.next_action() {
                CallAction::Probe { link, .. } => {
                    probes += 1;
                    harness.answer_probe(link, idle_health());
                }
                CallAction::Connect { link, .. } => {
                    unprobed += 1;
                    harness.handle(CallEvent::ConnectEnded(link, Ok(())));
                }
                CallAction::Send(_, link, _) => harness.end_attempt(link, AttemptEnding::Served),
                _ => {}
            }
        }
    }
    // Two requests are the daemon's share of what a cold worker may get, and two more may follow
    // each probe.
    assert!(
        unprobed <= 2 + 2 * probes,
        "{unprobed} requests without a probe, {probes} probes"
    );
}

#[test]
fn a_warm_worker_is_selected_before_the_share_of_a_cold_one_is_used_up() {
    let mut harness = Harness::new(&["x", "y"]);
    let route = Arc::new(route("r", RouteKind::Idempotent));
    let names = (1..40).map(|number| format!("front-b-{number}"));
    let members: Map<Name, Name> = names
        .map(|name| (name.as_str().into(), "b".into()))
        .collect();
    harness.dispatcher.table.set_members(members.iter());
    for _ in 0..10 {
        harness.advance(Span::millis(20));
        harness.arrive(&route);
        loop {
            match harness.next_action() {
                CallAction::Probe { link, .. } if &*harness.worker_id(link) == "x" => {
                    harness.answer_probe(link, cold_health())
                }
                CallAction::Probe { link, .. } => harness.answer_probe(link, idle_health()),
                CallAction::Release(_) => {}
                CallAction::Send(..) => break,
                other => panic!("{other:?}"),
            }
        }
    }
}

/// Guards against a cold worker that counts as warm once it is so full that it rejects probes, and
/// then gets all requests.
#[test]
fn a_worker_that_rejects_probes_gets_no_more_than_a_cold_one() {
    let mut harness = Harness::new(&["x"]);
    add_twelve_daemons(&mut harness);
    let route = Arc::new(route("r", RouteKind::Idempotent));
    harness.arrive(&route);
    harness.advance_answering(Span::millis(19), &cold_health());
    let rejected = HealthReport {
        cold_remaining: None,
        healthy: false,
        load: None,
        ..idle_health()
    };
    let mut sent = 0;
    for _ in 0..50 {
        harness.arrive(&route);
        let actions = harness.advance_answering(Span::millis(19), &rejected);
        sent += actions
            .iter()
            .filter(|action| matches!(action, CallAction::Send(..)))
            .count();
    }
    assert!(sent <= 2, "{sent}");
}
