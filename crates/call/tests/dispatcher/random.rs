//! Invariants of the dispatcher, checked over random sequences of events.

use {
    crate::harness::{Harness, bounds, health, route},
    call::{
        AttemptEnding, AttemptReport, CallAction, CallError, CallEvent, CallId, ForwardEnding,
        ForwardOrder, LinkId, Liveness, Policy, ProbeFailure,
    },
    fastrand::Rng,
    forward::HelperMember,
    quickcheck::quickcheck,
    site::RouteKind,
    std::{net::Ipv4Addr, sync::Arc},
    unit::{Map, Span},
};

/// What a connection is in use for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    Probing,
    /// Reserved for the request until the dispatcher uses or releases it.
    Reserved,
    Connecting,
    Sent(CallId),
    /// Used to forward a request.
    Forwarded(CallId),
    /// Used for a trial.
    Trying,
}

/// What happened to a request so far.
#[derive(Default)]
struct CallRecord {
    /// How many times the request ended; at most once is right.
    ended: u32,
    kind: Option<RouteKind>,
    /// The number of attempts in which the request may have run.
    maybe_ran: u32,
    sends: u32,
}

/// A dispatcher with callers and workers that act at random.
struct RandomRun {
    records: Map<CallId, CallRecord>,
    links: Map<LinkId, LinkState>,
    /// How many requests were forwarded.
    forwards: u32,
    /// Whether no worker can be reached.
    outage: bool,
    rng: Rng,
    harness: Harness,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let mut policy = Policy::new(bounds());
        policy.bounds.probe_rate = if seed & 1 == 0 { 10_000.0 } else { 10.0 };
        let mut harness = Harness::with_policy(&["w", "x", "y", "z"], policy);
        let helpers = [1, 2, 3, 4].map(|last| HelperMember {
            ip: Ipv4Addr::new(10, 0, 1, last),
            local: last < 3,
            reads_account: true,
        });
        harness.dispatcher.helpers.set_members(helpers.into_iter());
        Self {
            records: Map::default(),
            links: Map::default(),
            forwards: 0,
            outage: false,
            rng: Rng::with_seed(seed),
            harness,
        }
    }

    fn arrive(&mut self) {
        let kind = [RouteKind::AtMostOnce, RouteKind::Idempotent][self.rng.usize(..2)].clone();
        let mut route = route(&format!("{kind:?}"), kind.clone());
        route.max_attempts = self.rng.u32(1..4);
        let call = self.harness.arrive(&Arc::new(route));
        self.records.entry(call).or_default().kind = Some(kind);
    }

    /// A random connection in use whose state is wanted.
    fn link(&mut self, is_wanted: impl Fn(&LinkState) -> bool) -> Option<LinkId> {
        let mut links: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, state)| is_wanted(state))
            .map(|(link, _)| *link)
            .collect();
        links.sort_unstable();
        self.rng.choice(links)
    }

    fn end_probe(&mut self) {
        let Some(link) = self.link(|state| *state == LinkState::Probing) else {
            return;
        };
        let result = match self.rng.u32(..6) {
            _ if self.outage => Err(ProbeFailure::ConnectionFailed),
            0 => Err(ProbeFailure::ConnectionFailed),
            1 => Ok(health(4, 3, 100)),
            2 => Ok(health(1, 0, 500)),
            _ => Ok(health(1, 0, 100)),
        };
        if result.is_err() {
            self.links.remove(&link);
        } else {
            self.links.insert(link, LinkState::Reserved);
        }
        self.harness.handle(CallEvent::ProbeEnded(link, result));
    }

    fn end_connect(&mut self) {
        let Some(link) = self.link(|state| *state == LinkState::Connecting) else {
            return;
        };
        let result = if self.rng.u32(..4) == 0 {
            self.links.remove(&link);
            Err(ProbeFailure::NoConnection)
        } else {
            self.links.insert(link, LinkState::Reserved);
            Ok(())
        };
        self.harness.handle(CallEvent::ConnectEnded(link, result));
    }

    fn end_attempt(&mut self) {
        let Some(link) = self.link(|state| matches!(state, LinkState::Sent(_))) else {
            return;
        };
        let endings = [
            AttemptEnding::Failed,
            AttemptEnding::Lost,
            AttemptEnding::Misdirected,
            AttemptEnding::NotRun,
            AttemptEnding::Served,
            AttemptEnding::InvalidResponse,
            AttemptEnding::Unsent,
        ];
        let ending = endings[self.rng.usize(..endings.len())];
        let Some(LinkState::Sent(call)) = self.links.remove(&link) else {
            return;
        };
        if matches!(
            ending,
            AttemptEnding::Misdirected | AttemptEnding::NotRun | AttemptEnding::Unsent
        ) {
            self.records.entry(call).or_default().maybe_ran -= 1;
        }
        let report = AttemptReport::without_response(ending);
        self.harness.handle(CallEvent::AttemptEnded(link, report));
    }

    fn end_trial(&mut self) {
        let Some(link) = self.link(|state| *state == LinkState::Trying) else {
            return;
        };
        let result = if self.outage {
            self.links.remove(&link);
            Err(ProbeFailure::ConnectionFailed)
        } else {
            self.links.insert(link, LinkState::Reserved);
            Ok(health(1, 0, 100))
        };
        self.harness.handle(CallEvent::ProbeEnded(link, result));
    }

    fn end_forward(&mut self) {
        let Some(link) = self.link(|state| matches!(state, LinkState::Forwarded(_))) else {
            return;
        };
        let endings = [
            ForwardEnding::Answered,
            ForwardEnding::Declined,
            ForwardEnding::Failed(CallError::Lost),
            ForwardEnding::Failed(CallError::NotRun(Span::millis(10))),
            ForwardEnding::Failed(CallError::Timeout),
        ];
        let ending = endings[self.rng.usize(..endings.len())];
        let Some(LinkState::Forwarded(call)) = self.links.remove(&link) else {
            return;
        };
        let not_run = ForwardEnding::Failed(CallError::NotRun(Span::millis(10)));
        if ending == ForwardEnding::Declined || ending == not_run {
            self.records.entry(call).or_default().maybe_ran -= 1;
        }
        self.harness.handle(CallEvent::ForwardEnded(link, ending));
    }

    fn disconnect_caller(&mut self) {
        let mut calls: Vec<CallId> = self
            .records
            .iter()
            .filter(|(_, record)| record.ended == 0)
            .map(|(call, _)| *call)
            .collect();
        calls.sort_unstable();
        if let Some(call) = self.rng.choice(calls) {
            self.records.entry(call).or_default().ended += 1;
            self.harness.handle(CallEvent::CallerDisconnected(call));
        }
    }

    fn check_actions(&mut self) {
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                CallAction::Probe { link, .. } => {
                    assert_eq!(self.links.insert(link, LinkState::Probing), None);
                }
                CallAction::Connect { link, .. } => {
                    assert_eq!(self.links.insert(link, LinkState::Connecting), None);
                }
                CallAction::Check { .. } => panic!("the harness keeps checks apart"),
                CallAction::Release(link) => {
                    assert_eq!(self.links.remove(&link), Some(LinkState::Reserved))
                }
                CallAction::AbandonProbe(link) => {
                    let state = self.links.remove(&link);
                    assert!(matches!(
                        state,
                        Some(LinkState::Probing | LinkState::Connecting)
                    ));
                }
                CallAction::Close(link) => {
                    // A connection whose response is kept as the fallback is no longer in use, so
                    // there may be none.
                    self.links.remove(&link);
                }
                CallAction::Send(call, link, left) => {
                    assert_eq!(
                        self.links.insert(link, LinkState::Sent(call)),
                        Some(LinkState::Reserved)
                    );
                    assert!(left > Span::ZERO);
                    let record = self.records.entry(call).or_default();
                    assert_eq!(record.ended, 0);
                    if record.kind == Some(RouteKind::AtMostOnce) {
                        assert_eq!(record.maybe_ran, 0, "the request may run twice");
                    }
                    record.maybe_ran += 1;
                    record.sends += 1;
                }
                CallAction::Forward(ForwardOrder {
                    attempts,
                    call,
                    link,
                    time_left,
                    ..
                }) => {
                    let state = LinkState::Forwarded(call);
                    assert_eq!(self.links.insert(link, state), None);
                    assert!(attempts > 0 && time_left > Span::ZERO);
                    let record = self.records.entry(call).or_default();
                    assert_eq!(record.ended, 0);
                    if record.kind == Some(RouteKind::AtMostOnce) {
                        assert_eq!(record.maybe_ran, 0, "the request may run twice");
                    }
                    record.maybe_ran += 1;
                    self.forwards += 1;
                }
                CallAction::Try { link, .. } => {
                    assert_eq!(self.links.insert(link, LinkState::Trying), None);
                }
                CallAction::Deliver(call, _) => self.end_call(call),
                CallAction::Fail(call, error) => {
                    if matches!(
                        error,
                        CallError::Barred(_) | CallError::NotRun(_) | CallError::Unauthorized
                    ) {
                        let record = self.records.entry(call).or_default();
                        assert_eq!(record.maybe_ran, 0, "the request may have run");
                    }
                    self.end_call(call);
                }
            }
        }
        for link in std::mem::take(&mut self.harness.checks) {
            let results = [Liveness::Alive, Liveness::Down, Liveness::Unknown];
            let liveness = self.rng.choice(results).unwrap_or(Liveness::Unknown);
            self.harness.handle(CallEvent::CheckEnded(link, liveness));
        }
    }

    fn end_call(&mut self, call: CallId) {
        let record = self.records.entry(call).or_default();
        record.ended += 1;
        assert_eq!(record.ended, 1, "the request ends twice");
    }
}

/// Plays random events and checks the dispatcher's actions.
fn play(seed: u64) -> RandomRun {
    let mut run = RandomRun::new(seed);
    for _ in 0..400 {
        if run.rng.u32(..80) == 0 {
            run.outage = !run.outage;
        }
        match run.rng.u32(..12) {
            0 | 1 => run.arrive(),
            2..=4 => {
                run.end_probe();
                run.end_connect();
            }
            5 | 6 => run.end_attempt(),
            7 => run.disconnect_caller(),
            8 => run.end_trial(),
            9 => run.end_forward(),
            _ => {
                let span = Span::millis(run.rng.u64(1..60));
                run.harness.advance(span);
            }
        }
        run.check_actions();
    }
    run.harness.advance(Span::secs(5));
    run.check_actions();
    run.links.retain(|_, state| *state != LinkState::Trying);
    assert!(run.harness.dispatcher.is_empty());
    assert!(run.links.is_empty(), "{:?}", run.links);
    run
}

quickcheck! {
    /// An at-most-once request is never sent again once it may have run; a request reported as not
    /// run has not run; every request ends exactly once; no connection is leaked.
    fn invariants_hold_for_any_sequence_of_events(seed: u64) -> bool {
        let run = play(seed);
        run.records.values().all(|record| record.ended == 1)
    }
}

#[test]
fn random_sequences_forward_requests() {
    let forwards: u32 = (0..20).map(|seed| play(seed).forwards).sum();
    assert!(forwards > 100, "{forwards}");
}
