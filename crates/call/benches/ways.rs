//! Compares policies of worker selection in the same simulations: `cargo bench -p call --bench
//! ways`. Prints the score of each policy under each load, from 0 to 1.

#![allow(
    clippy::expect_used,
    clippy::print_stdout,
    dead_code,
    reason = "a benchmark that shares the simulation of the tests"
)]

#[path = "../tests/simulation/report.rs"]
mod report;
#[path = "../tests/simulation/retry_rule.rs"]
mod retry_rule;
#[path = "../tests/simulation/scenario.rs"]
mod scenario;
#[path = "../tests/simulation/sim_daemon.rs"]
mod sim_daemon;
#[path = "../tests/simulation/sim_worker.rs"]
mod sim_worker;
#[path = "../tests/simulation/simulation.rs"]
mod simulation;

use {
    call::Policy,
    report::Report,
    scenario::{Scenario, reads, writes},
    sim_daemon::bounds,
    simulation::Simulation,
    unit::Span,
};

/// The number of simulations for each score.
const SEEDS: u64 = 3;
const SPAN: Span = Span::secs(10);

/// The loads: each with its printed name, its fraction of the workers' capacity, and the fraction
/// of the requests that workers refuse.
const LOADS: [(&str, f64, f64); 6] = [
    ("0.3", 0.3, 0.0),
    ("0.6", 0.6, 0.0),
    ("0.9", 0.9, 0.0),
    ("1.2", 1.2, 0.0),
    ("1.8", 1.8, 0.0),
    ("0.5, 4 of 10 refused", 0.5, 0.4),
];

/// The policies to compare, with their printed names.
fn policies() -> Vec<(&'static str, Policy)> {
    let default = Policy::new(bounds());
    let answers = |max_answers, waiting_answers| Policy {
        max_answers,
        waiting_answers,
        ..default
    };
    let mut few_probes = default;
    few_probes.bounds.probe_rate = 6.0;
    let hedge_fraction = 0.0;
    vec![
        ("ask one worker", answers(1, 1)),
        ("ask up to two, one while waiting", answers(2, 1)),
        ("ask up to two", answers(2, 2)),
        ("ask up to three, one while waiting", default),
        ("ask up to six, one while waiting", answers(6, 1)),
        ("ask up to six", answers(6, 6)),
        (
            "ask up to three, one while waiting, no hedges",
            Policy {
                hedge_fraction,
                ..default
            },
        ),
        ("by what is known, mostly", few_probes),
    ]
}

/// The score of a policy under a load, as a fraction of the highest possible one. Writes count
/// twice.
fn score(policy: Policy, load_fraction: f64, refuse_fraction: f64) -> f64 {
    let (mut sum, mut max_sum) = (0.0, 0.0);
    for seed in 0..SEEDS {
        let mut scenario = Scenario::new(Vec::new());
        let rate = scenario.capacity(Span::millis(76)) * load_fraction;
        scenario.workloads = vec![reads(rate * 0.7), writes(rate * 0.3)];
        scenario.seed = seed;
        scenario.refuse_fraction = refuse_fraction;
        for (report, weight) in Simulation::play(&scenario, policy, SPAN)
            .iter()
            .zip([1.0, 2.0])
        {
            sum += weight * Report::score(report);
            max_sum += weight * f64::from(report.callers);
        }
    }
    sum / max_sum
}

fn main() {
    for (name, policy) in policies() {
        let scores = LOADS.map(|(load, load_fraction, refuse_fraction)| {
            format!(
                "{load}: {:.3}",
                score(policy, load_fraction, refuse_fraction)
            )
        });
        println!("{name}: {}", scores.join("; "));
    }
}
