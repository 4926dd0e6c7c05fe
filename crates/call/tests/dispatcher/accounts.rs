//! Requests of client accounts: changes of keys while requests wait, and priorities of accounts.

use {
    crate::harness::{Harness, health, idle_health, route, service},
    call::{Arrival, AttemptEnding, CallAction, CallError, CallEvent, CallId},
    poison::Fingerprint,
    site::{Account, Accounts, Config, Credential, KeyDigest, Route, RouteKind},
    std::sync::Arc,
    unit::{Name, Span},
};

/// A configuration with a route for reads and accounts, each with its key and priority.
fn config(accounts: &[(&str, &str, Option<u32>)], public: bool) -> Arc<Config> {
    let mut config = Config::default();
    config.services.insert("s".into(), Arc::new(service("s")));
    for (name, key, priority) in accounts {
        let name = Name::from(*name);
        let account = Account {
            burst: 0,
            keys: vec![KeyDigest::of(key)],
            name: name.clone(),
            priority: *priority,
            rate: None,
        };
        config.accounts.insert(name, Arc::new(account));
    }
    config.add_route("h", reads(public));
    Arc::new(config)
}

fn reads(public: bool) -> Route {
    Route {
        public,
        ..route("r", RouteKind::Idempotent)
    }
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text))
}

/// A dispatcher with workers and a configuration in force.
struct Accounted {
    config: Arc<Config>,
    harness: Harness,
    next: u64,
}

impl Accounted {
    fn new(config: Arc<Config>) -> Self {
        let mut harness = Harness::new(&["w", "x", "y", "z"]);
        harness.dispatcher.configure(Arc::clone(&config));
        Self {
            config,
            harness,
            next: 5_000,
        }
    }

    fn configure(&mut self, config: Arc<Config>) {
        self.harness.dispatcher.configure(Arc::clone(&config));
        self.config = config;
    }

    /// Admits a request to the route as the daemon does, and lets it arrive.
    fn arrive(&mut self, credential: Credential, route: Route) -> CallId {
        let accounts = Accounts::new(&self.config);
        let account = accounts.authenticate(&credential, route.public);
        let call = CallId(self.next);
        self.next += 1;
        self.harness.handle(CallEvent::Arrived(Arrival {
            account: account.expect("admitted").cloned(),
            call,
            credential,
            fingerprint: Fingerprint(call.0),
            forwarded: None,
            timeout: Some(Span::secs(1)),
            route: Arc::new(route),
            waited: Span::ZERO,
        }));
        call
    }

    /// How a request ends that waits in a backoff for room while `change` comes into force and
    /// workers become free.
    fn end_of_waiting(&mut self, change: Arc<Config>) -> Vec<CallAction> {
        self.harness
            .advance_answering(Span::millis(10), &health(4, 8, 100));
        self.configure(change);
        self.harness
            .advance_answering(Span::millis(60), &idle_health())
    }
}

/// Guards against a request that runs for a key that was dropped while it waited for room.
#[test]
fn a_waiting_request_whose_key_is_dropped_is_not_sent() {
    let mut accounted = Accounted::new(config(&[("a", "k", None), ("b", "l", None)], false));
    let call = accounted.arrive(key("k"), reads(false));
    let kept = accounted.arrive(key("l"), reads(false));
    let ends = accounted.end_of_waiting(config(&[("a", "k2", None), ("b", "l", None)], false));
    assert!(
        ends.contains(&CallAction::Fail(call, CallError::Unauthorized)),
        "{ends:?}"
    );
    let sent = |call: CallId| {
        let mut ends = ends.iter();
        ends.any(|end| matches!(end, CallAction::Send(sent, ..) if *sent == call))
    };
    assert!(sent(kept) && !sent(call), "{ends:?}");
}

/// Guards against a request that was admitted, and counted, for the account that held its key
/// before.
#[test]
fn a_waiting_request_whose_key_moves_to_another_account_is_not_sent() {
    let mut accounted = Accounted::new(config(&[("a", "k", None)], false));
    let call = accounted.arrive(key("k"), reads(false));
    let ends = accounted.end_of_waiting(config(&[("b", "k", None)], false));
    let [CallAction::Fail(failed, CallError::NotRun(span))] = ends[..] else {
        panic!("{ends:?}");
    };
    assert_eq!(failed, call);
    assert!(span < Span::secs(1));
}

#[test]
fn a_waiting_request_whose_key_stays_is_sent() {
    let mut accounted = Accounted::new(config(&[("a", "k", None)], false));
    accounted.arrive(key("k"), reads(false));
    let ends = accounted.end_of_waiting(config(&[("a", "k", Some(0)), ("c", "m", None)], false));
    assert!(matches!(ends[..], [CallAction::Send(..)]), "{ends:?}");
}

/// Guards against a key that no configuration contained, admitted before there were accounts.
#[test]
fn a_waiting_request_needs_a_key_once_there_are_accounts() {
    for credential in [Credential::Absent, key("never")] {
        let mut accounted = Accounted::new(config(&[], false));
        accounted.arrive(credential, reads(false));
        let ends = accounted.end_of_waiting(config(&[("a", "k", None)], false));
        assert!(
            matches!(ends[..], [CallAction::Fail(_, CallError::Unauthorized)]),
            "{ends:?}"
        );
    }
}

#[test]
fn a_waiting_request_without_a_key_is_sent_while_its_route_is_public() {
    for public in [true, false] {
        let mut accounted = Accounted::new(config(&[("a", "k", None)], true));
        accounted.arrive(Credential::Absent, reads(true));
        let ends = accounted.end_of_waiting(config(&[("a", "k", None)], public));
        match ends[..] {
            [CallAction::Send(..)] => assert!(public),
            [CallAction::Fail(_, CallError::Unauthorized)] => assert!(!public),
            _ => panic!("{ends:?}"),
        }
    }
}

/// Guards against a retry that is sent after the key was dropped. The first attempt did not run, so
/// the caller may be told that the request has not run.
#[test]
fn a_request_whose_key_is_dropped_is_not_sent_again() {
    for (ending, error) in [
        (AttemptEnding::NotRun, CallError::Unauthorized),
        // The worker may have run it, which was right when it was sent.
        (AttemptEnding::Lost, CallError::Lost),
    ] {
        let mut accounted = Accounted::new(config(&[("a", "k", None)], false));
        accounted.arrive(key("k"), reads(false));
        let link = accounted.harness.next_probe();
        accounted.harness.answer_probe(link, idle_health());
        let link = accounted.harness.next_send();
        accounted.configure(config(&[("a", "k2", None)], false));
        accounted.harness.end_attempt(link, ending);
        let mut actions = accounted.harness.actions.drain(..);
        assert!(
            actions.any(|action| matches!(action, CallAction::Fail(_, failed) if failed == error)),
            "{ending:?}"
        );
    }
}

/// Guards against a hedge that is sent after the key was dropped; the attempt in flight goes on.
#[test]
fn a_request_whose_key_is_dropped_is_not_hedged() {
    for (kept, sends) in [("k", 1), ("k2", 0)] {
        let mut accounted = Accounted::new(config(&[("a", "k", None)], false));
        let call = accounted.arrive(key("k"), reads(false));
        let link = accounted.harness.next_probe();
        accounted.harness.answer_probe(link, idle_health());
        let link = accounted.harness.next_send();
        accounted.configure(config(&[("a", kept, None)], false));
        let others = accounted
            .harness
            .advance_answering(Span::millis(700), &idle_health());
        let sent = |action: &&CallAction| matches!(action, CallAction::Send(..));
        assert_eq!(others.iter().filter(sent).count(), sends, "{others:?}");
        accounted.harness.end_attempt(link, AttemptEnding::Served);
        let delivered = CallAction::Deliver(call, link);
        assert!(accounted.harness.actions.contains(&delivered));
    }
}

/// Whether a request is sent to workers whose slots are all busy and that have one request queued.
fn sent_to_busy_workers(accounted: &mut Accounted, credential: Credential) -> bool {
    let route = (**accounted.config.route("h", "/").expect("a route")).clone();
    let call = accounted.arrive(credential, route);
    let others = accounted
        .harness
        .advance_answering(Span::millis(250), &health(4, 1, 100));
    let ending = others.iter().find_map(|action| match action {
        CallAction::Send(sent, ..) if *sent == call => Some(true),
        CallAction::Fail(failed, _) if *failed == call => Some(false),
        _ => None,
    });
    ending.unwrap_or_else(|| panic!("{others:?}"))
}

/// Guards against an order of service by the route's priority alone.
#[test]
fn the_accounts_priority_goes_before_the_routes() {
    // The route's priority is 1.
    let urgent = [("a", "k", Some(0)), ("b", "l", None)];
    let mut accounted = Accounted::new(config(&urgent, false));
    assert!(sent_to_busy_workers(&mut accounted, key("k")));
    assert!(!sent_to_busy_workers(&mut accounted, key("l")));
    let patient = [("a", "k", Some(2)), ("b", "l", None)];
    let mut accounted = Accounted::new(config(&patient, false));
    assert!(!sent_to_busy_workers(&mut accounted, key("k")));
    assert!(sent_to_busy_workers(&mut accounted, key("l")));
}

/// Guards against a route's priority that no request has, which would make all accounts urgent.
#[test]
fn the_lowest_priority_is_that_of_the_accounts_if_all_have_one() {
    let all = [("a", "k", Some(0)), ("b", "l", Some(0))];
    let mut accounted = Accounted::new(config(&all, false));
    assert!(!sent_to_busy_workers(&mut accounted, key("k")));
    // A public route has requests without an account, of its own priority.
    let mut accounted = Accounted::new(config(&all, true));
    assert!(sent_to_busy_workers(&mut accounted, key("k")));
    assert!(!sent_to_busy_workers(&mut accounted, Credential::Absent));
}
