//! Requests that are passed on to another daemon, since no worker can be reached.

use {
    crate::harness::{Harness, bounds, idle_health, route, service},
    call::{
        Arrival, AttemptEnding, AttemptReport, CallAction, CallError, CallEvent, CallId,
        ForwardEnding, Forwarded, LinkId, Policy,
    },
    forward::HelperMember,
    poison::Fingerprint,
    site::{Account, Config, Credential, KeyDigest, Notice, Route, RouteKind},
    std::{net::Ipv4Addr, sync::Arc},
    unit::{Set, Span},
};

const HELPERS: [Ipv4Addr; 4] = [
    Ipv4Addr::new(10, 0, 1, 1),
    Ipv4Addr::new(10, 0, 1, 2),
    Ipv4Addr::new(10, 0, 1, 3),
    Ipv4Addr::new(10, 0, 1, 4),
];

fn reads() -> Arc<Route> {
    Arc::new(route("r", RouteKind::Idempotent))
}

fn writes() -> Arc<Route> {
    Arc::new(route("w", RouteKind::AtMostOnce))
}

/// A dispatcher that knows helpers.
fn helped() -> Harness {
    let mut harness = Harness::new(&["w", "x", "y", "z"]);
    let helpers = HELPERS.map(|ip| HelperMember {
        ip,
        local: true,
        reads_account: true,
    });
    harness.dispatcher.helpers.set_members(helpers.into_iter());
    harness
}

/// A dispatcher that is cut off from all workers and knows helpers.
fn cut() -> Harness {
    let mut harness = helped();
    cut_off(&mut harness);
    harness
}

/// Lets all probes fail until the dispatcher is cut off.
fn cut_off(harness: &mut Harness) {
    while !harness.dispatcher.is_cut("s") {
        harness.arrive(&reads());
        while let Some(action) = harness.actions.pop() {
            if let CallAction::Probe { link, .. } = action {
                harness.fail_probe(link);
            }
        }
        harness.advance(Span::millis(50));
    }
    harness.advance(Span::secs(1));
    harness.actions.clear();
}

/// Takes the next action, which must forward a request. Returns the helper and the link.
fn next_forward(harness: &mut Harness) -> (Ipv4Addr, LinkId) {
    match harness.next_action() {
        CallAction::Forward(order) => (order.helper, order.link),
        other => panic!("expected a forward, not {other:?}"),
    }
}

/// Fails all probes until a request is forwarded; returns the link.
fn fail_probes(harness: &mut Harness) -> LinkId {
    loop {
        if harness.actions.is_empty() {
            harness.advance(Span::millis(5));
            continue;
        }
        match harness.next_action() {
            CallAction::Probe { link, .. } => harness.fail_probe(link),
            CallAction::Forward(order) => return order.link,
            other => panic!("expected a probe or a forward, not {other:?}"),
        }
    }
}

fn end(harness: &mut Harness, link: LinkId, ending: ForwardEnding) {
    harness.handle(CallEvent::ForwardEnded(link, ending));
}

/// Lets a request arrive that another daemon forwards.
fn arrive_from_peer(harness: &mut Harness, number: u64, attempts: u32) {
    harness.handle(CallEvent::Arrived(Arrival {
        account: None,
        call: CallId(1_000 + number),
        credential: Credential::Absent,
        fingerprint: Fingerprint(1_000 + number),
        forwarded: Some(Forwarded {
            attempts,
            service: "s".into(),
        }),
        timeout: Some(Span::secs(1)),
        route: reads(),
        waited: Span::ZERO,
    }));
}

#[test]
fn a_daemon_that_is_cut_off_forwards_at_once() {
    let mut harness = cut();
    let call = harness.arrive(&writes());
    let (_, link) = next_forward(&mut harness);
    end(&mut harness, link, ForwardEnding::Answered);
    assert_eq!(harness.next_action(), CallAction::Deliver(call, link));
    assert!(harness.actions.is_empty());
}

#[test]
fn a_request_that_reaches_no_worker_is_forwarded_before_the_daemon_is_cut_off() {
    let mut harness = helped();
    harness.arrive(&writes());
    while let CallAction::Probe { .. } = harness.actions[0] {
        let probe = harness.next_probe();
        harness.advance(Span::millis(40));
        harness
            .actions
            .retain(|action| *action != CallAction::AbandonProbe(probe));
    }
    next_forward(&mut harness);
}

#[test]
fn a_request_that_a_helper_declines_goes_to_the_next_ones_and_then_to_workers() {
    let mut harness = cut();
    harness.arrive(&writes());
    let mut asked = Set::default();
    for _ in 0..3 {
        let (helper, link) = next_forward(&mut harness);
        assert!(asked.insert(helper));
        end(&mut harness, link, ForwardEnding::Declined);
    }
    harness.next_probe();
}

#[test]
fn a_request_that_a_helper_may_have_run_goes_to_no_other_one() {
    for route in [reads(), writes()] {
        let mut harness = cut();
        harness.arrive(&route);
        let (_, link) = next_forward(&mut harness);
        end(&mut harness, link, ForwardEnding::Failed(CallError::Lost));
        assert_eq!(harness.next_error(), CallError::Lost);
        assert!(harness.actions.is_empty());
    }
}

#[test]
fn a_helpers_refusal_is_passed_on_only_if_nothing_was_run_before() {
    let refusal = CallError::NotRun(Span::millis(70));
    let mut harness = cut();
    harness.arrive(&writes());
    let (_, link) = next_forward(&mut harness);
    end(&mut harness, link, ForwardEnding::Failed(refusal));
    assert_eq!(harness.next_error(), refusal);
    // This one was sent to a worker just before the cut.
    let mut harness = helped();
    let attempt = harness.start_attempt(&reads());
    harness.end_attempt(attempt, AttemptEnding::Lost);
    let link = fail_probes(&mut harness);
    end(&mut harness, link, ForwardEnding::Failed(refusal));
    assert_eq!(harness.next_error(), CallError::Lost);
}

#[test]
fn a_forwarded_request_is_not_forwarded_again() {
    let mut harness = cut();
    arrive_from_peer(&mut harness, 0, 2);
    harness.next_probe();
}

#[test]
fn a_helper_keeps_to_the_attempts_that_are_left() {
    let mut harness = helped();
    arrive_from_peer(&mut harness, 0, 1);
    let link = harness.next_probe();
    harness.answer_probe(link, idle_health());
    assert_eq!(harness.next_send(), link);
    harness.end_attempt(link, AttemptEnding::Lost);
    assert_eq!(harness.next_error(), CallError::Lost);
}

#[test]
fn a_forwarded_request_adds_nothing_to_the_helpers_retry_budget() {
    let mut policy = Policy::new(bounds());
    policy.bounds.retry_extra = 0.0;
    let mut harness = Harness::with_policy(&["w", "x", "y", "z"], policy);
    for number in 0..30 {
        arrive_from_peer(&mut harness, number, 2);
        let link = harness.next_probe();
        harness.answer_probe(link, idle_health());
        assert_eq!(harness.next_send(), link);
        harness.end_attempt(link, AttemptEnding::Lost);
        let probe = harness.next_probe();
        harness.answer_probe(probe, idle_health());
        assert_eq!(harness.next_action(), CallAction::Release(probe));
        assert_eq!(harness.next_error(), CallError::Lost);
        harness.advance(Span::millis(10));
    }
}

#[test]
fn a_caller_that_leaves_ends_the_forwarded_request() {
    let mut harness = cut();
    let call = harness.arrive(&writes());
    let (_, link) = next_forward(&mut harness);
    harness.handle(CallEvent::CallerDisconnected(call));
    assert_eq!(harness.next_action(), CallAction::Close(link));
}

#[test]
fn a_forwarded_request_ends_at_its_deadline() {
    let mut harness = cut();
    let call = harness.arrive(&writes());
    let (_, link) = next_forward(&mut harness);
    harness.advance(Span::secs(1));
    let failed = CallAction::Fail(call, CallError::Timeout);
    assert!(harness.actions.contains(&failed));
    assert!(harness.actions.contains(&CallAction::Close(link)));
}

#[test]
fn a_daemon_that_is_cut_off_tries_a_worker_again_and_again() {
    let mut harness = cut();
    harness.advance(Span::secs(2));
    let tries: Vec<LinkId> = harness
        .actions
        .iter()
        .filter_map(|action| match action {
            CallAction::Try { link, .. } => Some(*link),
            _ => None,
        })
        .collect();
    assert!((5..=16).contains(&tries.len()), "{}", tries.len());
    harness.actions.clear();
    let due = harness.dispatcher.next_tick().expect("another trial");
    harness.advance(due.since(harness.now));
    let CallAction::Try { link, .. } = harness.next_action() else {
        panic!("a trial is due");
    };
    harness.answer_probe(link, idle_health());
    assert!(!harness.dispatcher.is_cut("s"));
}

#[test]
fn a_worker_that_asked_to_be_left_alone_gets_no_trial() {
    let mut harness = helped();
    let link = harness.start_attempt(&writes());
    let resting = harness.workers[&link];
    let report = AttemptReport {
        ending: AttemptEnding::NotRun,
        load: None,
        notice: Some(Notice {
            retry_after: Some(Span::secs(30)),
            ..Notice::default()
        }),
    };
    harness.handle(CallEvent::AttemptEnded(link, report));
    cut_off(&mut harness);
    harness.advance(Span::secs(10));
    let mut tried = 0;
    for action in &harness.actions {
        if let CallAction::Try { worker, .. } = action {
            tried += 1;
            assert_ne!(*worker, resting);
        }
    }
    assert!(tried > 20, "{tried}");
}

/// Guards against a helper of a build that doesn't read accounts: it would run the request for none.
#[test]
fn a_request_of_an_account_is_not_forwarded_to_a_helper_that_reads_no_accounts() {
    assert_eq!(forwards_with_account(false), 0);
}

/// Guards against a daemon that is cut off and refuses what others could serve.
#[test]
fn a_request_of_an_account_is_forwarded_to_a_helper_that_reads_accounts() {
    assert_eq!(forwards_with_account(true), 1);
}

/// How often a cut-off daemon forwards a request of an account.
fn forwards_with_account(reads_account: bool) -> usize {
    let mut harness = cut();
    let helper = HelperMember {
        ip: Ipv4Addr::new(10, 0, 0, 9),
        local: true,
        reads_account,
    };
    harness.dispatcher.helpers.set_members([helper].into_iter());
    let account = Account {
        burst: 0,
        keys: vec![KeyDigest::of("k")],
        name: "a".into(),
        priority: None,
        rate: None,
    };
    let mut config = Config::default();
    config.services.insert("s".into(), Arc::new(service("s")));
    let account = Arc::new(account);
    config.accounts.insert("a".into(), Arc::clone(&account));
    harness.dispatcher.configure(Arc::new(config));
    harness.handle(CallEvent::Arrived(Arrival {
        account: Some(account),
        call: CallId(2_000),
        credential: Credential::Key(KeyDigest::of("k")),
        fingerprint: Fingerprint(2_000),
        forwarded: None,
        timeout: Some(Span::secs(1)),
        route: reads(),
        waited: Span::ZERO,
    }));
    harness.advance(Span::millis(900));
    let forwards = |action: &&CallAction| matches!(action, CallAction::Forward(_));
    harness.actions.iter().filter(forwards).count()
}
