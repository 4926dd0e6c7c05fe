//! A fleet of daemons with one rollout in virtual time: callers at random, gossip between random
//! daemons, a decider and a store.

use {
    fastrand::Rng,
    rollout::{Conditions, Order, Params, Phase, Rollout, RolloutNews, Side},
    site::RolloutState,
    unit::{Span, Time},
};

const TICK: Span = Span::millis(200);
const ROUTES: [&str; 3] = ["one", "two", "three"];
/// Other daemons that each one sends its news to at a tick, and the reports in it.
const FANOUT: usize = 6;
const REPORTS: usize = 4;
/// The time from an order to write a state until all daemons that reach the store know it.
const WRITE_TIME: Span = Span::millis(600);

/// What a target version does that a good one doesn't.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// It fails this part of the requests of one route, from a time on.
    Fails { part: f64, from: Span },
    /// It takes this many times as long on all routes.
    Slow(f64),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) daemons: usize,
    pub(crate) duration: Span,
    /// From when to when both versions fail one request in five and are slow twice as often.
    pub(crate) disruption: Option<(Span, Span)>,
    pub(crate) fault: Fault,
    /// Requests per second to the whole fleet.
    pub(crate) rate: f64,
    /// When the fleet falls into two halves that don't hear each other.
    pub(crate) split_at: Option<Span>,
    /// Whether the store never takes a write.
    pub(crate) store_down: bool,
}

impl Scenario {
    pub(crate) fn new(daemons: usize, rate: f64, fault: Fault) -> Self {
        Self {
            daemons,
            duration: Span::secs(60),
            disruption: None,
            fault,
            rate,
            split_at: None,
            store_down: false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// The bad responses of the target version.
    pub(crate) bad: u32,
    /// When the verdict was in force.
    pub(crate) decided_at: Option<Span>,
    pub(crate) exposed: u64,
    /// Sends to the target later than 5 s after its 50th bad response.
    pub(crate) late_sends: u64,
    /// Requests sent to the old version while or after the state was completed.
    pub(crate) old_after: u64,
    pub(crate) requests: u64,
    pub(crate) state: Option<RolloutState>,
}

impl Outcome {
    /// By how many requests the target version got more than the share allows it; the slack counts.
    pub(crate) fn overshoot(&self, params: &Params) -> f64 {
        self.exposed as f64 - params.share * self.requests as f64 - params.slack
    }
}

pub(crate) const PARAMS: Params = Params {
    share: 0.1,
    slack: 50.0,
    rollback: Span::secs(5),
};

pub(crate) fn object(duration: Span) -> site::Rollout {
    site::Rollout {
        created: 7,
        duration,
        name: "s".into(),
        service: "s".into(),
        state: None,
        target: "v2".into(),
    }
}

/// Plays a scenario until its deadline.
pub(crate) fn play(scenario: &Scenario, seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let mut fleet: Vec<Rollout> = (0..scenario.daemons)
        .map(|_| Rollout::new(object(scenario.duration), PARAMS, Time::ZERO, &mut rng))
        .collect();
    let mut outcome = Outcome {
        bad: 0,
        decided_at: None,
        exposed: 0,
        late_sends: 0,
        old_after: 0,
        requests: 0,
        state: None,
    };
    let mut fiftieth: Option<Span> = None;
    let mut pending: Option<(Span, RolloutState)> = None;
    let mut at = Span::ZERO;
    while at < scenario.duration {
        let now = Time::at(at);
        let split = scenario.split_at.is_some_and(|from| at >= from);
        exchange(&mut fleet, now, split, &mut rng);
        if let Some((_, state)) = pending.take_if(|(due, _)| *due <= at) {
            for rollout in &mut fleet {
                let object = site::Rollout {
                    state: Some(state),
                    ..rollout.object().clone()
                };
                rollout.update(object);
            }
            if state != RolloutState::Running {
                outcome.state = Some(state);
                outcome.decided_at = Some(at);
            }
        }
        let alive: Vec<u32> = (0..scenario.daemons as u32).collect();
        let order = fleet[0].decide(now, &alive, true);
        if let Some(Order::Write(state, _)) = order
            && !scenario.store_down
        {
            pending.get_or_insert((at + WRITE_TIME, state));
        }
        for rollout in &mut fleet {
            let rate = scenario.rate / scenario.daemons as f64 * TICK.as_secs();
            for _ in 0..poisson(rate, &mut rng) {
                let bad = request(rollout, scenario, at, &mut outcome, &mut rng);
                if fiftieth.is_some_and(|from| at > from + PARAMS.rollback) && bad.is_some() {
                    outcome.late_sends += 1;
                }
                outcome.bad += u32::from(bad == Some(true));
                if outcome.bad >= 50 {
                    fiftieth.get_or_insert(at);
                }
            }
        }
        at = at + TICK;
    }
    outcome
}

/// One request; returns whether the target version got it, and then whether its response was bad.
fn request(
    rollout: &mut Rollout,
    scenario: &Scenario,
    at: Span,
    outcome: &mut Outcome,
    rng: &mut Rng,
) -> Option<bool> {
    let now = Time::at(at);
    let all = rollout.phase() == Phase::Completed || rollout.is_shifted(now);
    let target = all || rollout.draw(now, rng) && rollout.admits(now);
    outcome.requests += 1;
    rollout.record_request();
    if target {
        rollout.record_exposed();
        outcome.exposed += 1;
    } else if outcome.state == Some(RolloutState::Completed) || rollout.is_shifted(now) {
        outcome.old_after += 1;
    }
    let route = rng.usize(..ROUTES.len());
    let disrupted = scenario
        .disruption
        .is_some_and(|(from, to)| at >= from && at < to);
    let mut fails = disrupted && rng.f64() < 0.2;
    let mut took = 0.05 * (0.7 + 0.6 * rng.f64());
    // The few workers of the target version leave less choice between slow ones and others.
    let slow_chance = if target { 0.22 } else { 0.1 };
    if rng.f64() < slow_chance * if disrupted { 2.0 } else { 1.0 } {
        took *= 5.0;
    }
    let mut bad = false;
    if target {
        match scenario.fault {
            Fault::None => {}
            Fault::Fails { part, from } => {
                bad = route == 0 && at >= from && rng.f64() < part;
                fails |= bad;
            }
            Fault::Slow(factor) => {
                took *= factor;
                bad = true;
            }
        }
    }
    let side = if target { Side::Target } else { Side::Old };
    rollout.record_end(ROUTES[route], side, Span::from_secs(took), fails);
    target.then_some(bad)
}

/// Each daemon adds up what it knows and tells some others.
fn exchange(fleet: &mut [Rollout], now: Time, split: bool, rng: &mut Rng) {
    let count = fleet.len();
    let half = |index: usize| index * 2 < count;
    for index in 0..count {
        let alive = if split { count / 2 } else { count };
        let conditions = Conditions {
            alive,
            registered: count,
            staleness: Span::ZERO,
        };
        fleet[index].tick(now, conditions, 0);
        fleet[index].report(now, index as u32, 1);
        for _ in 0..FANOUT {
            let to = rng.usize(..count);
            if to == index || (split && half(to) != half(index)) {
                continue;
            }
            let news: RolloutNews = fleet[index].news(now, REPORTS);
            fleet[to].adopt(now, news);
        }
    }
}

fn poisson(mean: f64, rng: &mut Rng) -> u32 {
    let mut count = 0;
    let mut left = mean;
    loop {
        left += rng.f64().max(1e-12).ln();
        if left < 0.0 {
            return count;
        }
        count += 1;
    }
}
