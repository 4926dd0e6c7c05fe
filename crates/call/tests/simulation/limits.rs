//! Workers that name a limit on the requests that they take from all daemons together.

use {
    crate::{
        scenario::{Scenario, reads, writes},
        sim_daemon::bounds,
        sim_worker::SimWorker,
        simulation::Simulation,
    },
    call::Policy,
    site::Notice,
    unit::{Rate, Span, Time},
};

/// The time that the daemons have to comply after a worker first named its limit.
const SETTLING: Span = Span::secs(3);
/// How long before a request its daemon must have been told of the limit for the request to count.
const TOLD_BEFORE: Span = Span::millis(500);
const WINDOW: Span = Span::secs(4);
const SPAN: Span = Span::secs(15);
/// The least fraction of its limit that a worker gets under demand.
const MIN_USED: f64 = 0.8;

fn rate(per_second: f64) -> Rate {
    Rate::per_second(per_second).expect("a valid rate")
}

/// The most requests that a worker may get in any window.
fn bound(limit: Rate) -> f64 {
    limit.as_per_second() * WINDOW.as_secs() * 1.5 + 5.0
}

/// The times of the requests that count for a worker's limit.
fn counted(worker: &SimWorker) -> Vec<Time> {
    let Some(first_told) = worker.told.values().min().copied() else {
        return Vec::new();
    };
    let counts = |(at, daemon): &&(Time, usize)| {
        let told = worker.told.get(daemon);
        *at >= first_told + SETTLING && told.is_some_and(|told| *at >= *told + TOLD_BEFORE)
    };
    let arrivals = worker.arrivals.iter().filter(counts);
    arrivals.map(|(at, _)| *at).collect()
}

/// The most requests that count in any window.
fn most_in_window(worker: &SimWorker) -> usize {
    let times = counted(worker);
    let until = |start: &Time| times.partition_point(|at| *at < *start + WINDOW);
    let counts = times.iter().enumerate();
    let counts = counts.map(|(index, start)| until(start) - index);
    counts.max().unwrap_or_default()
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
