//! What workers get that name a limit, and what callers get when many workers ask to back off or name
//! a limit: `cargo bench -p call --bench notices`.

#![allow(
    clippy::expect_used,
    clippy::print_stdout,
    dead_code,
    reason = "a benchmark that shares the simulation of the tests"
)]

#[path = "../tests/simulation/limit_rule.rs"]
mod limit_rule;
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
    limit_rule::{SETTLING, bound, most_in_window},
    scenario::{Scenario, reads, writes},
    sim_daemon::bounds,
    simulation::Simulation,
    unit::{Rate, Span},
};

const SPAN: Span = Span::secs(15);
/// The daemons, workers and requests per second of each fleet.
const FLEETS: [(usize, usize, f64); 3] = [(13, 14, 400.0), (130, 60, 1_500.0), (472, 414, 6_000.0)];
const LIMITS: [f64; 3] = [1.0, 2.6, 8.0];

fn scenario(daemons: usize, workers: usize, demand: f64) -> Scenario {
    let mut scenario = Scenario::new(vec![reads(demand * 0.7), writes(demand * 0.3)]);
    scenario.daemons = daemons;
    scenario.workers = workers;
    scenario.slow_fraction = 0.0;
    scenario
}

fn run(scenario: &Scenario) -> Simulation {
    let mut simulation = Simulation::new(scenario, Policy::new(bounds()));
    simulation.run(SPAN);
    simulation
}

/// All workers name one limit, below the demand.
fn print_limits() {
    println!("daemons workers limit gossip | most in 4 s, bound | share used | first second");
    for (daemons, workers, demand) in FLEETS {
        for limit in LIMITS {
            for gossips in [false, true] {
                let mut scenario = scenario(daemons, workers, demand);
                let rate = Rate::per_second(limit).expect("a valid rate");
                scenario.rate_limits = vec![rate; workers];
                scenario.gossips = gossips;
                let simulation = run(&scenario);
                let most = simulation.workers.iter().map(most_in_window).max();
                let start = Simulation::start();
                let arrivals = || {
                    simulation
                        .workers
                        .iter()
                        .flat_map(|worker| &worker.arrivals)
                };
                let settled = arrivals().filter(|(at, _)| *at >= start + SETTLING);
                let due = limit * workers as f64 * (SPAN.as_secs() - SETTLING.as_secs());
                let first = arrivals().filter(|(at, _)| *at < start + Span::secs(1));
                println!(
                    "{daemons:7} {workers:7} {limit:5} {gossips:6} | {:11}, {:5.1} | {:10.2} | {:.1}",
                    most.unwrap_or_default(),
                    bound(rate),
                    settled.count() as f64 / due,
                    first.count() as f64 / workers as f64,
                );
            }
        }
    }
}

/// A third of the workers turn requests away or name a limit, at rising traffic.
fn print_loads() {
    println!("notice      load heard | in time  late refused failed | tries a request");
    for retry_after in [true, false] {
        for load in [0.3, 0.45, 0.6, 0.9] {
            for tells in [false, true] {
                let mut scenario = Scenario::new(Vec::new());
                let rate = scenario.capacity(Span::millis(76)) * load;
                scenario.workloads = vec![reads(rate * 0.7), writes(rate * 0.3)];
                scenario.tells = tells;
                if retry_after {
                    scenario.turning_away = scenario.workers / 3;
                } else {
                    let limit = Rate::per_second(4.0).expect("a valid rate");
                    scenario.rate_limits = vec![limit; scenario.workers / 3];
                }
                let simulation = run(&scenario);
                let reports = simulation.reports();
                let sum = |count: fn(&report::Report) -> u32| {
                    f64::from(reports.iter().map(count).sum::<u32>())
                };
                let callers = sum(|report| report.callers);
                let notice = if retry_after { "back off" } else { "limit 4" };
                println!(
                    "{notice:10} {load:5} {tells:5} | {:7.3} {:5.3} {:7.3} {:6.3} | {:.3}",
                    sum(|report| report.timely) / callers,
                    sum(|report| report.late) / callers,
                    sum(|report| report.refused) / callers,
                    sum(|report| report.failed) / callers,
                    simulation.tries(),
                );
            }
        }
    }
}

fn main() {
    print_loads();
    print_limits();
}
