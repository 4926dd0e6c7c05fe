//! Retries, hedges and the responses to callers after a worker has failed a request.

use {
    crate::harness::{Harness, bounds, health, idle_health, route},
    call::{AttemptEnding, CallAction, CallError, CallEvent, Policy},
    site::RouteKind,
    std::sync::Arc,
    unit::Span,
};

#[test]
fn an_at_most_once_request_is_not_retried_after_it_may_have_run() {
    for ending in [AttemptEnding::Lost, AttemptEnding::InvalidResponse] {
        let mut harness = Harness::new(&["x", "y"]);
        let link = harness.start_attempt(&Arc::new(route("r", RouteKind::AtMostOnce)));
        harness.end_attempt(link, ending);
        assert_eq!(harness.next_error(), CallError::Lost);
        assert!(harness.dispatcher.is_empty() && harness.actions.is_empty());
    }
}

#[test]
fn an_at_most_once_request_gets_the_workers_error_response() {
    let mut harness = Harness::new(&["x", "y"]);
    let link = harness.start_attempt(&Arc::new(route("r", RouteKind::AtMostOnce)));
    harness.end_attempt(link, AttemptEnding::Failed);
    assert!(
        matches!(harness.next_action(), CallAction::Deliver(_, delivered) if delivered == link)
    );
}

#[test]
fn any_request_that_did_not_run_is_retried_on_another_worker() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Idempotent] {
        for ending in [
            AttemptEnding::NotRun,
            AttemptEnding::Misdirected,
            AttemptEnding::Unsent,
        ] {
            let mut harness = Harness::new(&["x", "y"]);
            let first = harness.start_attempt(&Arc::new(route("r", kind.clone())));
            harness.end_attempt(first, ending);
            let second = harness.next_probe();
            assert_ne!(harness.worker_id(first), harness.worker_id(second));
            harness.answer_probe(second, idle_health());
            assert_eq!(harness.next_send(), second);
            harness.end_attempt(second, ending);
            let CallError::NotRun(span) = harness.next_error() else {
                panic!("{kind:?} {ending}");
            };
            assert!(span <= Span::millis(20), "other workers have room");
        }
    }
}

#[test]
fn an_idempotent_request_is_retried_and_never_reported_as_not_run_once_lost() {
    for ending in [AttemptEnding::Lost, AttemptEnding::InvalidResponse] {
        let mut harness = Harness::new(&["x", "y", "z"]);
        let first = harness.start_attempt(&Arc::new(route("r", RouteKind::Idempotent)));
        harness.end_attempt(first, ending);
        let second = harness.next_probe();
        harness.answer_probe(second, idle_health());
        assert_eq!(harness.next_send(), second);
        harness.end_attempt(second, AttemptEnding::NotRun);
        assert_eq!(harness.next_error(), CallError::Lost);
    }
}

#[test]
fn a_workers_error_response_is_delivered_if_the_retry_fails_too() {
    let mut harness = Harness::new(&["x", "y"]);
    let first = harness.start_attempt(&Arc::new(route("r", RouteKind::Idempotent)));
    harness.end_attempt(first, AttemptEnding::Failed);
    let second = harness.next_probe();
    harness.answer_probe(second, idle_health());
    assert_eq!(harness.next_send(), second);
    harness.end_attempt(second, AttemptEnding::Lost);
    assert!(
        matches!(harness.next_action(), CallAction::Deliver(_, delivered) if delivered == first)
    );
}

#[test]
fn retries_stay_within_the_budget() {
    let mut policy = Policy::new(bounds());
    policy.bounds.retry_extra = 0.0;
    policy.bounds.retry_ratio = 0.2;
    let mut harness = Harness::with_policy(&["x", "y"], policy);
    let route = Arc::new(route("r", RouteKind::Idempotent));
    let mut retries = 0;
    for _ in 0..100 {
        harness.advance(Span::millis(20));
        let first = harness.start_attempt(&route);
        harness.end_attempt(first, AttemptEnding::NotRun);
        let second = harness.next_probe();
        harness.answer_probe(second, idle_health());
        match harness.next_action() {
            CallAction::Send(_, link, _) => {
                retries += 1;
                harness.end_attempt(link, AttemptEnding::Served);
                harness.next_action();
            }
            CallAction::Release(_) => assert!(matches!(harness.next_error(), CallError::NotRun(_))),
            other => panic!("{other:?}"),
        }
    }
    assert!((15..=20).contains(&retries), "{retries}");
}

#[test]
fn a_request_ends_at_the_routes_timeout() {
    let mut harness = Harness::new(&["x"]);
    let link = harness.start_attempt(&Arc::new(route("r", RouteKind::AtMostOnce)));
    harness.advance(Span::millis(799));
    assert!(harness.actions.is_empty());
    harness.advance(Span::millis(1));
    assert_eq!(harness.next_action(), CallAction::Close(link));
    assert_eq!(harness.next_error(), CallError::Timeout);
}

#[test]
fn an_idempotent_request_at_a_slow_worker_is_hedged_and_the_first_response_is_delivered() {
    let mut harness = Harness::new(&["x", "y"]);
    let first = harness.start_attempt(&Arc::new(route("r", RouteKind::Idempotent)));
    harness.advance(Span::millis(150));
    let second = harness.next_probe();
    harness.answer_probe(second, idle_health());
    assert_eq!(harness.next_send(), second);
    harness.end_attempt(second, AttemptEnding::Served);
    assert!(matches!(harness.next_action(), CallAction::Deliver(_, link) if link == second));
    assert_eq!(harness.next_action(), CallAction::Close(first));
    assert!(harness.dispatcher.is_empty());
}

#[test]
fn an_at_most_once_request_is_never_hedged() {
    let mut harness = Harness::new(&["x", "y"]);
    harness.start_attempt(&Arc::new(route("r", RouteKind::AtMostOnce)));
    harness.advance(Span::millis(700));
    assert!(harness.actions.is_empty());
}

#[test]
fn a_callers_disconnection_closes_every_connection_in_use_for_its_request() {
    let mut harness = Harness::new(&["x", "y"]);
    let call = harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let link = harness.next_probe();
    harness.answer_probe(link, idle_health());
    assert_eq!(harness.next_send(), link);
    harness.advance(Span::millis(150));
    let second = harness.next_probe();
    harness.handle(CallEvent::CallerDisconnected(call));
    assert_eq!(harness.next_action(), CallAction::Close(link));
    assert_eq!(harness.next_action(), CallAction::Close(second));
    assert!(harness.dispatcher.is_empty() && harness.actions.is_empty());
}

#[test]
fn unreachable_workers_are_skipped() {
    let mut harness = Harness::new(&["x", "y", "z"]);
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let first = harness.next_probe();
    harness.fail_probe(first);
    let second = harness.next_probe();
    harness.fail_probe(second);
    let third = harness.next_probe();
    harness.answer_probe(third, idle_health());
    assert_eq!(harness.next_send(), third);
}

#[test]
fn a_hedge_is_tried_again_after_no_worker_had_room() {
    let mut harness = Harness::new(&["x", "y"]);
    harness.start_attempt(&Arc::new(route("r", RouteKind::Idempotent)));
    let others = harness.advance_answering(Span::millis(400), &health(4, 8, 100));
    assert!(others.is_empty(), "{others:?}");
    let others = harness.advance_answering(Span::millis(100), &idle_health());
    assert!(matches!(others[..], [CallAction::Send(..)]), "{others:?}");
}

/// Guards against a daemon that has just started and divides the fleet's extra retries among the few
/// daemons that it knows by then.
#[test]
fn a_daemon_without_a_share_of_the_fleets_limits_uses_no_extra_retries() {
    let mut policy = Policy::new(bounds());
    policy.bounds.retry_extra = 50.0;
    let mut harness = Harness::with_policy(&["x", "y"], policy);
    harness.dispatcher.table.allow_shares_from(None);
    let route = Arc::new(route("r", RouteKind::Idempotent));
    let first = harness.start_attempt(&route);
    harness.end_attempt(first, AttemptEnding::NotRun);
    let second = harness.next_probe();
    harness.answer_probe(second, idle_health());
    assert_eq!(harness.next_action(), CallAction::Release(second));
    assert!(matches!(harness.next_error(), CallError::NotRun(_)));
}
