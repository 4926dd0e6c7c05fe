//! Plays loads at which requests are scarce of workers, in fleets of three sizes: `cargo bench -p call
//! --bench loads`. Prints for each route the fractions of the callers that were served in time,
//! served late, refused, and failed.

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

const SPAN: Span = Span::secs(4);
const SEEDS: u64 = 2;
/// The numbers of daemons and workers.
const FLEETS: [(usize, usize); 3] = [(13, 14), (46, 60), (118, 120)];

/// What differs between the loads.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Whether a data centre of four is evacuated.
    evacuated: bool,
    name: &'static str,
    /// The reads and the writes, as fractions of the capacity.
    rates: (f64, f64),
    /// How often callers that are rejected come back.
    retries: u32,
    /// The fraction of the workers that are slow.
    slow: f64,
}

/// Usually half of the capacity is used, seven of ten requests are reads.
const USUAL: Load = Load {
    evacuated: false,
    name: "usual",
    rates: (0.35, 0.15),
    retries: 1,
    slow: 0.25,
};

const LOADS: [Load; 7] = [
    USUAL,
    Load {
        name: "0.75 of the capacity",
        rates: (0.525, 0.225),
        ..USUAL
    },
    Load {
        name: "reads at 2.2 times, a data centre evacuated",
        evacuated: true,
        rates: (0.77, 0.15),
        ..USUAL
    },
    Load {
        name: "one account of ten at 10 times",
        rates: (0.665, 0.285),
        ..USUAL
    },
    Load {
        name: "three retries, 0.9 of the capacity",
        rates: (0.63, 0.27),
        retries: 3,
        ..USUAL
    },
    Load {
        name: "a third slow, 0.7 of the capacity",
        rates: (0.49, 0.21),
        slow: 0.33,
        ..USUAL
    },
    Load {
        name: "all at once",
        evacuated: true,
        rates: (1.2, 0.285),
        retries: 3,
        slow: 0.33,
    },
];

fn play(load: Load, daemons: usize, workers: usize, seed: u64) -> Vec<Report> {
    let mut scenario = Scenario::new(Vec::new());
    (scenario.daemons, scenario.workers) = (daemons, workers);
    scenario.seed = seed;
    let capacity = scenario.capacity(Span::millis(76));
    scenario.slow_fraction = load.slow;
    scenario.workloads = vec![
        reads(capacity * load.rates.0),
        writes(capacity * load.rates.1),
    ];
    for workload in &mut scenario.workloads {
        workload.retries = load.retries;
    }
    let mut simulation = Simulation::new(&scenario, Policy::new(bounds()));
    simulation.run(Span::secs(1));
    if load.evacuated {
        simulation.evacuate(0);
    }
    simulation.run(Span::secs(1));
    simulation.clear_reports();
    simulation.run(SPAN);
    simulation.reports().to_vec()
}

fn main() {
    for load in LOADS {
        for (daemons, workers) in FLEETS {
            let mut sums = [[0.0; 5]; 2];
            for seed in 0..SEEDS {
                for (sum, report) in sums.iter_mut().zip(play(load, daemons, workers, seed)) {
                    let counts = [
                        report.timely,
                        report.late,
                        report.refused,
                        report.failed,
                        report.callers,
                    ];
                    for (sum, count) in sum.iter_mut().zip(counts) {
                        *sum += f64::from(count);
                    }
                }
            }
            let parts = sums.map(|[timely, late, refused, failed, callers]| {
                [timely, late, refused, failed].map(|count| format!("{:.3}", count / callers))
            });
            let [reads, writes] = parts.map(|parts| parts.join(" "));
            println!(
                "{}, {daemons} daemons: reads {reads}; writes {writes}",
                load.name
            );
        }
    }
}
