//! What workers ask of their callers in responses: to leave, to be left alone, to get no more than
//! a limit.

use {
    crate::harness::{Harness, bounds, idle_health, route, worker},
    call::{AttemptEnding, AttemptReport, CallAction, CallError, CallEvent, LinkId, Policy},
    pick::WorkerKey,
    site::{Departure, HealthReport, Notice, RouteKind, WorkerState},
    std::sync::Arc,
    unit::{Rate, Span},
};

fn leaving() -> Notice {
    Notice {
        leaving: true,
        ..Notice::default()
    }
}

fn retry_after(span: Span) -> Notice {
    Notice {
        retry_after: Some(span),
        ..Notice::default()
    }
}

/// Ends an attempt with a response that carries a notice.
fn respond(harness: &mut Harness, link: LinkId, ending: AttemptEnding, notice: Notice) {
    let report = AttemptReport {
        ending,
        load: None,
        notice: Some(notice),
    };
    harness.handle(CallEvent::AttemptEnded(link, report));
}

/// Sends a request to the only worker, which serves it and says that it leaves.
fn told_leaving(harness: &mut Harness) -> WorkerKey {
    let link = harness.start_attempt(&Arc::new(route("r", RouteKind::Idempotent)));
    respond(harness, link, AttemptEnding::Served, leaving());
    harness.actions.clear();
    harness.workers[&link]
}

/// Whether a new request is sent or probed for.
fn is_offered(harness: &mut Harness) -> bool {
    // A probe's permit must have been saved.
    harness.advance(Span::millis(10));
    harness.actions.clear();
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let offered = |action: &CallAction| {
        matches!(
            action,
            CallAction::Send(..) | CallAction::Probe { .. } | CallAction::Connect { .. }
        )
    };
    let result = harness.actions.iter().any(offered);
    harness.actions.clear();
    result
}

#[test]
fn a_worker_that_says_it_leaves_gets_nothing_after_the_drain_time() {
    let mut harness = Harness::new(&["x"]);
    told_leaving(&mut harness);
    assert!(is_offered(&mut harness), "it is the last resort at first");
    harness.advance(bounds().drain);
    assert!(!is_offered(&mut harness));
}

#[test]
fn a_worker_that_says_it_leaves_is_passed_over_at_once_where_another_is_left() {
    let mut harness = Harness::new(&["x", "y"]);
    let left = told_leaving(&mut harness);
    for _ in 0..20 {
        harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
        let link = harness.next_probe();
        assert_ne!(harness.workers[&link], left);
        harness.answer_probe(link, idle_health());
        let sent = harness.next_send();
        harness.end_attempt(sent, AttemptEnding::Served);
        harness.actions.clear();
        harness.advance(Span::millis(20));
    }
}

#[test]
fn no_entry_brings_back_a_worker_that_said_it_leaves() {
    let mut harness = Harness::new(&["x"]);
    told_leaving(&mut harness);
    harness.advance(bounds().drain);
    let now = harness.now;
    let table = &mut harness.dispatcher.table;
    table.upsert(worker("x"), now);
    assert!(!is_offered(&mut harness), "the entry says ready");
    let table = &mut harness.dispatcher.table;
    table.mark_removed("x", Departure::Lapsed, bounds().drain, now);
    harness.advance(Span::secs(10));
    let now = harness.now;
    harness.dispatcher.table.prune(now);
    harness.dispatcher.table.upsert(worker("x"), now);
    assert!(!is_offered(&mut harness), "the entry comes back");
    let mut born_anew = worker("x");
    born_anew.started_ms = 2;
    harness.dispatcher.table.upsert(born_anew, now);
    assert!(is_offered(&mut harness), "a new process run");
}

#[test]
fn a_draining_entry_does_not_prolong_the_use_of_a_worker_that_said_it_leaves() {
    let mut harness = Harness::new(&["x"]);
    told_leaving(&mut harness);
    let mut entry = worker("x");
    entry.state = WorkerState::Draining;
    for _ in 0..10 {
        harness.advance(Span::millis(200));
        let now = harness.now;
        harness.dispatcher.table.upsert(entry.clone(), now);
    }
    assert!(!is_offered(&mut harness));
}

#[test]
fn a_worker_that_asks_to_back_off_gets_no_request_and_no_probe_until_its_end() {
    let mut harness = Harness::new(&["x", "y"]);
    let read = Arc::new(route("r", RouteKind::Idempotent));
    let link = harness.start_attempt(&read);
    let asked = harness.workers[&link];
    let notice = retry_after(Span::secs(3));
    respond(&mut harness, link, AttemptEnding::NotRun, notice);
    harness.actions.clear();
    let mut offers = 0;
    for _ in 0..290 {
        harness.arrive(&read);
        let actions = harness.advance_answering(Span::millis(10), &idle_health());
        for action in actions {
            if let CallAction::Send(_, link, _) = action {
                offers += usize::from(harness.workers.get(&link) == Some(&asked));
                harness.end_attempt(link, AttemptEnding::Served);
            }
        }
    }
    assert_eq!(offers, 0);
    let probed = harness.workers.values().filter(|key| **key == asked);
    assert_eq!(probed.count(), 1);
    harness.advance(Span::millis(200));
    let now = harness.now;
    assert!(harness.dispatcher.table.may_send(asked, now));
}

#[test]
fn a_retry_delay_in_the_response_to_a_probe_counts() {
    let mut harness = Harness::new(&["x"]);
    harness.arrive(&Arc::new(route("r", RouteKind::Idempotent)));
    let link = harness.next_probe();
    let health = HealthReport {
        healthy: false,
        notice: retry_after(Span::secs(2)),
        ..idle_health()
    };
    harness.answer_probe(link, health);
    let sent = |action: &CallAction| matches!(action, CallAction::Send(..));
    assert!(!harness.actions.iter().any(sent));
    harness.actions.clear();
    assert!(!is_offered(&mut harness));
}

#[test]
fn a_caller_is_rejected_at_once_while_all_workers_ask_to_back_off() {
    let mut harness = Harness::new(&["x", "y"]);
    let read = Arc::new(route("r", RouteKind::Idempotent));
    for span in [Span::secs(5), Span::secs(2)] {
        harness.advance(Span::millis(10));
        let link = harness.start_attempt(&read);
        respond(&mut harness, link, AttemptEnding::NotRun, retry_after(span));
        harness
            .actions
            .retain(|action| matches!(action, CallAction::Probe { .. }));
        while !harness.actions.is_empty() {
            let probe = harness.next_probe();
            harness.fail_probe(probe);
            harness
                .actions
                .retain(|action| matches!(action, CallAction::Probe { .. }));
        }
    }
    harness.arrive(&read);
    let CallError::NotRun(delay) = harness.next_error() else {
        panic!("expected a rejection");
    };
    assert!(delay >= Span::millis(1_900), "{delay:?}: the earliest end");
    assert!(delay <= Span::millis(3_100), "{delay:?}");
}

#[test]
fn a_connection_kept_ready_is_not_used_after_the_worker_asked_to_back_off() {
    let mut policy = Policy::new(bounds());
    policy.bounds.probe_rate = 0.0;
    let mut harness = Harness::with_policy(&["x"], policy);
    let read = Arc::new(route("r", RouteKind::Idempotent));
    let link = harness.start_attempt(&read);
    harness.arrive(&read);
    let CallAction::Connect { link: second, .. } = harness.next_action() else {
        panic!("expected a connection without a probe");
    };
    respond(
        &mut harness,
        link,
        AttemptEnding::NotRun,
        retry_after(Span::secs(1)),
    );
    harness.actions.clear();
    harness.handle(CallEvent::ConnectEnded(second, Ok(())));
    let sent = |action: &CallAction| matches!(action, CallAction::Send(..));
    assert!(!harness.actions.iter().any(sent));
}

#[test]
fn a_worker_that_takes_nothing_now_gets_one_request_in_a_long_time() {
    let mut harness = Harness::new(&["x"]);
    let read = Arc::new(route("r", RouteKind::Idempotent));
    let link = harness.start_attempt(&read);
    let none = Notice {
        rate_limit: Rate::per_second(0.0),
        ..Notice::default()
    };
    respond(&mut harness, link, AttemptEnding::Served, none);
    harness.actions.clear();
    assert!(!is_offered(&mut harness));
    harness.advance(Span::secs(3));
    assert!(is_offered(&mut harness), "it may have ended its limit");
}

#[test]
fn a_worker_whose_entry_comes_back_still_gets_nothing_for_as_long_as_it_asked() {
    let mut harness = Harness::new(&["x"]);
    let link = harness.start_attempt(&Arc::new(route("r", RouteKind::AtMostOnce)));
    let asked = retry_after(Span::secs(5));
    respond(&mut harness, link, AttemptEnding::NotRun, asked);
    let (now, drain) = (harness.now, bounds().drain);
    let table = &mut harness.dispatcher.table;
    table.mark_removed("x", Departure::Lapsed, drain, now);
    harness.advance(Span::secs(3));
    harness.dispatcher.table.prune(harness.now);
    harness.dispatcher.table.upsert(worker("x"), harness.now);
    assert!(!is_offered(&mut harness));
    harness.advance(Span::secs(2));
    assert!(is_offered(&mut harness));
}
