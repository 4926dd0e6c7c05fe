//! Requests that are in flight at workers that crash.

use {
    crate::harness::{Harness, idle_health, route, worker},
    call::{AttemptEnding, CallAction, CallError, CallEvent, LinkId, Liveness},
    poison::{CrashNews, Fingerprint},
    site::RouteKind,
    std::sync::Arc,
    unit::Span,
};

/// The fingerprint of the first request in a harness.
const FIRST: Fingerprint = Fingerprint(0);

/// Takes the only check of a worker.
fn next_check(harness: &mut Harness) -> LinkId {
    assert_eq!(harness.checks.len(), 1);
    harness.checks.remove(0)
}

/// Another daemon tells that the first request crashed a worker.
fn tell_crash(harness: &mut Harness, run: u32) {
    let news = CrashNews {
        age: Span::millis(20 * u64::from(run + 1)),
        request: FIRST,
        run: Some(run),
    };
    harness.dispatcher.adopt_crash(harness.now, news);
}

#[test]
fn a_request_that_crashed_workers_elsewhere_is_refused_at_once() {
    let mut harness = Harness::new(&["x", "y"]);
    for run in 0..3 {
        tell_crash(&mut harness, run);
    }
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    assert!(matches!(harness.next_error(), CallError::Barred(span) if span > Span::secs(500)));
    assert!(harness.actions.is_empty() && harness.dispatcher.is_empty());
}

#[test]
fn a_request_that_is_barred_after_a_loss_is_not_sent_again() {
    let mut harness = Harness::new(&["x", "y"]);
    let link = harness.start_attempt(&Arc::new(route("r", RouteKind::Idempotent)));
    for run in 0..2 {
        tell_crash(&mut harness, run);
    }
    harness.end_attempt(link, AttemptEnding::Lost);
    let check = next_check(&mut harness);
    let probe = harness.next_probe();
    harness.handle(CallEvent::CheckEnded(check, Liveness::Down));
    harness.answer_probe(probe, idle_health());
    assert_eq!(harness.next_action(), CallAction::Release(probe));
    assert_eq!(harness.next_error(), CallError::Lost);
}

#[test]
fn a_worker_that_is_alive_after_a_loss_is_held_against_no_request() {
    for liveness in [Liveness::Alive, Liveness::Unknown] {
        let mut harness = Harness::new(&["x", "y"]);
        for run in 0..2 {
            tell_crash(&mut harness, run);
        }
        let link = harness.start_attempt(&Arc::new(route("r", RouteKind::AtMostOnce)));
        harness.end_attempt(link, AttemptEnding::Lost);
        let check = next_check(&mut harness);
        harness.handle(CallEvent::CheckEnded(check, liveness));
        assert_eq!(
            harness.dispatcher.crash_log().barred(harness.now, FIRST),
            None
        );
    }
}

#[test]
fn one_check_serves_all_requests_that_a_worker_breaks_off() {
    let mut harness = Harness::new(&["x"]);
    let route = Arc::new(route("r", RouteKind::AtMostOnce));
    let first = harness.start_attempt(&route);
    // Until there is a permit for the next probe.
    harness.advance(Span::millis(10));
    let second = harness.start_attempt(&route);
    harness.dispatcher.table.upsert(worker("y"), harness.now);
    harness.end_attempt(first, AttemptEnding::Lost);
    let check = next_check(&mut harness);
    assert_eq!(harness.next_error(), CallError::Lost);
    harness.end_attempt(second, AttemptEnding::Lost);
    assert_eq!(harness.next_error(), CallError::Lost);
    harness.handle(CallEvent::CheckEnded(check, Liveness::Down));
    answer_other(&mut harness);
    let crashes = harness.dispatcher.take_crashes();
    assert_eq!(crashes.len(), 2);
}

/// A request breaks off and its worker accepts no connection, after two crashes at other daemons.
fn lose_after_two_crashes(harness: &mut Harness) {
    let link = harness.start_attempt(&Arc::new(route("r", RouteKind::AtMostOnce)));
    for run in 0..2 {
        tell_crash(harness, run);
    }
    harness.end_attempt(link, AttemptEnding::Lost);
    assert_eq!(harness.next_error(), CallError::Lost);
    let check = next_check(harness);
    harness.handle(CallEvent::CheckEnded(check, Liveness::Down));
}

/// Whether the first request is barred.
fn first_barred(harness: &Harness) -> bool {
    let log = harness.dispatcher.crash_log();
    log.barred(harness.now, FIRST).is_some()
}

/// Lets another request's probe be answered.
fn answer_other(harness: &mut Harness) {
    harness.start_attempt(&Arc::new(route("r", RouteKind::Idempotent)));
}

#[test]
fn links_that_a_cut_resets_are_held_against_no_request() {
    let mut harness = Harness::new(&["x", "y", "z", "w"]);
    lose_after_two_crashes(&mut harness);
    harness.advance(Span::secs(2));
    assert!(!first_barred(&harness), "no worker was reached since");
    answer_other(&mut harness);
    assert!(!first_barred(&harness), "the links were cut and are back");
}

#[test]
fn a_crash_counts_once_another_worker_was_reached() {
    let mut harness = Harness::new(&["x", "y", "z", "w"]);
    lose_after_two_crashes(&mut harness);
    harness.advance(Span::millis(100));
    answer_other(&mut harness);
    assert!(first_barred(&harness));
}

/// Whether the first request is barred after two crashes, an attempt with this ending and one more
/// crash.
fn barred_around(ending: AttemptEnding) -> bool {
    let mut harness = Harness::new(&["x"]);
    let link = harness.start_attempt(&Arc::new(route("r", RouteKind::AtMostOnce)));
    for run in 0..2 {
        tell_crash(&mut harness, run);
    }
    harness.end_attempt(link, ending);
    tell_crash(&mut harness, 2);
    harness
        .dispatcher
        .crash_log()
        .barred(harness.now, FIRST)
        .is_some()
}

#[test]
fn only_a_success_ends_what_was_held_against_a_request() {
    assert!(!barred_around(AttemptEnding::Served));
    assert!(barred_around(AttemptEnding::Failed));
    assert!(barred_around(AttemptEnding::NotRun));
}
