//! Random sequences of events; what must hold in all of them.

use {
    crate::scene::{Scene, bounds, health, route},
    call::{
        AttemptEnding, AttemptReport, CallAction, CallEvent, CallId, LinkId, Policy, ProbeFailure,
        Refusal,
    },
    fastrand::Rng,
    quickcheck::quickcheck,
    site::Idempotency,
    std::sync::Arc,
    unit::{Map, Span},
};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Use {
    Asking,
    Held,
    Opening,
    Sent(CallId),
}

#[derive(Default)]
struct Fate {
    ended: u32,
    kind: Option<Idempotency>,
    /// Sends after which it may have run.
    maybe_ran: u32,
    sends: u32,
}

/// The world that the desk sees, by chance.
struct World {
    fates: Map<CallId, Fate>,
    links: Map<LinkId, Use>,
    rng: Rng,
    scene: Scene,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut policy = Policy::new(bounds());
        policy.bounds.probe_rate = if seed & 1 == 0 { 10_000.0 } else { 10.0 };
        Self {
            fates: Map::default(),
            links: Map::default(),
            rng: Rng::with_seed(seed),
            scene: Scene::with_policy(&["w", "x", "y", "z"], policy),
        }
    }

    fn begin(&mut self) {
        let kind = [Idempotency::AtMostOnce, Idempotency::Idempotent][self.rng.usize(..2)];
        let mut route = route(&format!("{kind:?}"), kind);
        route.max_attempts = self.rng.u32(1..4);
        let call = self.scene.begin(&Arc::new(route));
        self.fates.entry(call).or_default().kind = Some(kind);
    }

    fn link(&mut self, wanted: impl Fn(&Use) -> bool) -> Option<LinkId> {
        let mut links: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, state)| wanted(state))
            .map(|(link, _)| *link)
            .collect();
        links.sort_unstable();
        self.rng.choice(links)
    }

    fn tell(&mut self) {
        let Some(link) = self.link(|state| *state == Use::Asking) else {
            return;
        };
        let result = match self.rng.u32(..6) {
            0 => Err(ProbeFailure::ConnectionFailed),
            1 => Ok(health(4, 3, 100)),
            2 => Ok(health(1, 0, 500)),
            _ => Ok(health(1, 0, 100)),
        };
        if result.is_err() {
            self.links.remove(&link);
        } else {
            self.links.insert(link, Use::Held);
        }
        self.scene.step(CallEvent::ProbeEnded(link, result));
    }

    fn open(&mut self) {
        let Some(link) = self.link(|state| *state == Use::Opening) else {
            return;
        };
        let result = if self.rng.u32(..4) == 0 {
            self.links.remove(&link);
            Err(ProbeFailure::NoConnection)
        } else {
            self.links.insert(link, Use::Held);
            Ok(())
        };
        self.scene.step(CallEvent::ConnectEnded(link, result));
    }

    fn answer(&mut self) {
        let Some(link) = self.link(|state| matches!(state, Use::Sent(_))) else {
            return;
        };
        let answers = [
            AttemptEnding::Failed,
            AttemptEnding::Lost,
            AttemptEnding::Misdirected,
            AttemptEnding::NotRun,
            AttemptEnding::Served,
            AttemptEnding::InvalidResponse,
            AttemptEnding::Unsent,
        ];
        let answer = answers[self.rng.usize(..answers.len())];
        let Some(Use::Sent(call)) = self.links.remove(&link) else {
            return;
        };
        if matches!(
            answer,
            AttemptEnding::Misdirected | AttemptEnding::NotRun | AttemptEnding::Unsent
        ) {
            self.fates.entry(call).or_default().maybe_ran -= 1;
        }
        let told = AttemptReport {
            ending: answer,
            load: None,
        };
        self.scene.step(CallEvent::AttemptEnded(link, told));
    }

    fn leave(&mut self) {
        let mut calls: Vec<CallId> = self
            .fates
            .iter()
            .filter(|(_, fate)| fate.ended == 0)
            .map(|(call, _)| *call)
            .collect();
        calls.sort_unstable();
        if let Some(call) = self.rng.choice(calls) {
            self.fates.entry(call).or_default().ended += 1;
            self.scene.step(CallEvent::CallerDisconnected(call));
        }
    }

    fn check(&mut self) {
        for action in std::mem::take(&mut self.scene.actions) {
            match action {
                CallAction::Probe { link, .. } => {
                    assert_eq!(self.links.insert(link, Use::Asking), None);
                }
                CallAction::Connect { link, .. } => {
                    assert_eq!(self.links.insert(link, Use::Opening), None);
                }
                CallAction::Release(link) => assert_eq!(self.links.remove(&link), Some(Use::Held)),
                CallAction::AbandonProbe(link) => {
                    let state = self.links.remove(&link);
                    assert!(matches!(state, Some(Use::Asking | Use::Opening)));
                }
                CallAction::Close(link) => {
                    // The connection of an answer that was kept in reserve is free already.
                    self.links.remove(&link);
                }
                CallAction::Send(call, link, left) => {
                    assert_eq!(self.links.insert(link, Use::Sent(call)), Some(Use::Held));
                    assert!(left > Span::ZERO);
                    let fate = self.fates.entry(call).or_default();
                    assert_eq!(fate.ended, 0);
                    if fate.kind == Some(Idempotency::AtMostOnce) {
                        assert_eq!(fate.maybe_ran, 0, "it may run twice");
                    }
                    fate.maybe_ran += 1;
                    fate.sends += 1;
                }
                CallAction::Deliver(call, _) => self.end(call),
                CallAction::Refuse(call, refusal) => {
                    if matches!(refusal, Refusal::NotRun(_)) {
                        let fate = self.fates.entry(call).or_default();
                        assert_eq!(fate.maybe_ran, 0, "it may have run");
                    }
                    self.end(call);
                }
            }
        }
    }

    fn end(&mut self, call: CallId) {
        let fate = self.fates.entry(call).or_default();
        fate.ended += 1;
        assert_eq!(fate.ended, 1, "it ends twice");
    }
}

quickcheck! {
    /// A request that may run once is never sent while it may have run; what is called not run did
    /// not; every request ends once; no connection is left over.
    fn holds_in_any_order_of_events(seed: u64) -> bool {
        let mut world = World::new(seed);
        for _ in 0..400 {
            match world.rng.u32(..10) {
                0 | 1 => world.begin(),
                2..=4 => {
                    world.tell();
                    world.open();
                }
                5 | 6 => world.answer(),
                7 => world.leave(),
                _ => {
                    let span = Span::millis(world.rng.u64(1..60));
                    world.scene.pass(span);
                }
            }
            world.check();
        }
        world.scene.pass(Span::secs(5));
        world.check();
        assert!(world.scene.desk.is_empty());
        assert!(world.links.is_empty(), "{:?}", world.links);
        world.fates.values().all(|fate| fate.ended == 1)
    }
}
