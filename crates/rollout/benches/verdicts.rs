//! How often verdicts are wrong, late or cost too much, by fleet, load and fault. Prints a line for
//! each; `cargo bench -p rollout --bench verdicts [PLAYS]`.

#![allow(
    missing_docs,
    dead_code,
    reason = "a bench, which shares the tests' simulation"
)]

#[path = "../tests/fleet/simulation.rs"]
mod simulation;

use {
    simulation::{Fault, PARAMS, Scenario, play},
    site::RolloutState,
    unit::Span,
};

const PLAYS: u64 = 20;

fn main() {
    let plays = std::env::args().find_map(|argument| argument.parse().ok());
    let plays: u64 = plays.unwrap_or(PLAYS);
    let third = |from: u64| Fault::Fails {
        part: 1.0 / 3.0,
        from: Span::secs(from),
    };
    let faults = [
        ("good", Fault::None, false),
        ("good, disruption", Fault::None, true),
        ("fails 1/3 of a route", third(0), false),
        (
            "fails all of a route",
            Fault::Fails {
                part: 1.0,
                from: Span::ZERO,
            },
            false,
        ),
        ("fails 1/3 from 25 s", third(25), false),
        (
            "fails 1/10 of a route",
            Fault::Fails {
                part: 0.1,
                from: Span::ZERO,
            },
            false,
        ),
        ("3 times as slow", Fault::Slow(3.0), false),
        ("fails 1/3, disruption", third(0), true),
    ];
    println!("fleet rate fault: completed rolled_back none, decided, overshoot, bad, late sends");
    for daemons in [13, 130] {
        for rate in [50.0, 200.0, 800.0] {
            for (name, fault, disrupted) in faults {
                let mut scenario = Scenario::new(daemons, rate, fault);
                scenario.disruption = disrupted.then_some((Span::secs(15), Span::secs(22)));
                report(&scenario, name, plays);
            }
        }
    }
}

fn report(scenario: &Scenario, name: &str, plays: u64) {
    let outcomes: Vec<_> = (0..plays).map(|seed| play(scenario, seed)).collect();
    let count = |state: Option<RolloutState>| {
        let same = outcomes.iter().filter(|outcome| outcome.state == state);
        same.count()
    };
    let decided = outcomes.iter().filter_map(|outcome| outcome.decided_at);
    let mut decided: Vec<u64> = decided.map(Span::as_millis).collect();
    decided.sort_unstable();
    let bad = outcomes.iter().map(|outcome| outcome.bad).max();
    let overshoot = outcomes.iter().map(|outcome| outcome.overshoot(&PARAMS));
    let late: u64 = outcomes.iter().map(|outcome| outcome.late_sends).sum();
    println!(
        "{:>3} {:>3} {name}: {} {} {}, {:?}..{:?} ms, {:.0}, {}, {late}",
        scenario.daemons,
        scenario.rate,
        count(Some(RolloutState::Completed)),
        count(Some(RolloutState::RolledBack)),
        count(None),
        decided.first(),
        decided.last(),
        overshoot.fold(f64::MIN, f64::max),
        bad.unwrap_or_default(),
    );
}
