//! Workers that name a limit on the requests that they take from all daemons together, or turn
//! requests away and ask to back off.

use {
    crate::{
        limit_rule::{SETTLING, bound, most_in_window},
        scenario::{RETRY_DELAY, Scenario, reads, writes},
        sim_daemon::bounds,
        simulation::Simulation,
    },
    call::Policy,
    site::Notice,
    unit::{Rate, Span, Time},
};

const SPAN: Span = Span::secs(15);
/// The least fraction of its limit that a worker gets under demand.
const MIN_USED: f64 = 0.8;

fn rate(per_second: f64) -> Rate {
    Rate::per_second(per_second).expect("a valid rate")
}

/// A scenario in which as many workers as there are `limits` name them; `demand` is the number of
/// requests per second.
fn limited(daemons: usize, workers: usize, limits: Vec<Rate>, demand: f64) -> Scenario {
    let mut scenario = Scenario::new(vec![reads(demand * 0.7), writes(demand * 0.3)]);
    scenario.daemons = daemons;
    scenario.workers = workers;
    scenario.slow_fraction = 0.0;
    scenario.rate_limits = limits;
    scenario
}

/// Plays a scenario and checks the limit of each worker that names one.
fn play(scenario: &Scenario) -> Simulation {
    let mut simulation = Simulation::new(scenario, Policy::new(bounds()));
    simulation.run(SPAN);
    for (worker, limit) in simulation.workers.iter().zip(&scenario.rate_limits) {
        let most = most_in_window(worker);
        let bound = bound(*limit);
        assert!(most as f64 <= bound, "{most} requests of {bound}");
    }
    simulation
}

#[test]
fn workers_that_name_a_limit_get_no_more_from_all_daemons_together() {
    play(&limited(13, 14, vec![rate(3.6), rate(2.6)], 155.0));
}

#[test]
fn workers_that_name_a_limit_get_most_of_it_under_demand() {
    for per_second in [0.7, 1.3, 2.6, 3.6, 8.0] {
        let limits = vec![rate(per_second); 14];
        let scenario = limited(13, 14, limits, 400.0);
        let simulation = play(&scenario);
        for worker in &simulation.workers {
            let after = Simulation::start() + SETTLING;
            let arrivals = worker.arrivals.iter();
            let count = arrivals.filter(|(at, _)| *at >= after).count();
            let due = per_second * (SPAN.as_secs() - SETTLING.as_secs());
            assert!(count as f64 >= due * MIN_USED, "{count} requests of {due}");
        }
    }
}

#[test]
fn a_fleet_larger_than_the_limits_of_its_workers_keeps_them() {
    play(&limited(130, 60, vec![rate(2.6); 20], 700.0));
}

#[test]
fn daemons_tell_each_other_of_a_limit_and_of_its_end() {
    const SIZE: usize = 130;
    let scenario = limited(SIZE, 60, vec![rate(2.6)], 700.0);
    let mut simulation = Simulation::new(&scenario, Policy::new(bounds()));
    simulation.run(Span::secs(6));
    assert_eq!(simulation.count_limited(0), SIZE);
    simulation.workers[0].notice = Notice::default();
    simulation.run(Span::secs(10));
    assert_eq!(simulation.count_limited(0), 0);
}

/// The most tries a request where a third of the workers ask to back off at a light load.
const MAX_TRIES: f64 = 1.15;

#[test]
fn callers_are_served_while_a_third_of_the_workers_ask_to_back_off() {
    let mut scenario = limited(13, 14, Vec::new(), 220.0);
    scenario.turning_away = 4;
    let simulation = play(&scenario);
    let refused: u32 = simulation
        .reports()
        .iter()
        .map(|report| report.refused)
        .sum();
    assert_eq!(refused, 0);
    assert!(simulation.tries() <= MAX_TRIES, "{}", simulation.tries());
    for worker in &simulation.workers[10..] {
        for daemon in 0..13 {
            let arrivals = worker.arrivals.iter().filter(|(_, from)| *from == daemon);
            let times: Vec<Time> = arrivals.map(|(at, _)| *at).collect();
            let early = |pair: &&[Time]| {
                let gap = pair[1].since(pair[0]);
                gap > Span::millis(500) && gap < RETRY_DELAY
            };
            assert_eq!(times.windows(2).filter(early).count(), 0);
        }
    }
}
