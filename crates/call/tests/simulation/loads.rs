//! What callers get under light and heavy loads and with slow or refusing workers.

use {
    crate::{
        report::Report,
        scenario::{Scenario, probes, reads, writes},
        sim_daemon::bounds,
        simulation::Simulation,
    },
    call::Policy,
    unit::Span,
};

const SPAN: Span = Span::secs(10);
/// The number of random scenarios.
const RANDOM_SCENARIOS: u64 = 60;
/// The least score that the users require in calm hours, as a fraction of the highest possible one.
const MIN_CALM_SCORE: f64 = 0.90;
/// The least score, and the least fraction of timely responses, that they require in the worst
/// hours.
const MIN_SCORE: f64 = 0.62;
/// The least difference between the served fractions of a higher and a lower priority.
const PRIORITY_MARGIN: f64 = 0.05;

/// A scenario with a load of `load_fraction` of the workers' capacity; three of ten requests are
/// writes.
fn loaded(load_fraction: f64) -> Scenario {
    let mut scenario = Scenario::new(Vec::new());
    set_load(&mut scenario, load_fraction);
    scenario
}

fn set_load(scenario: &mut Scenario, load_fraction: f64) {
    let rate = scenario.capacity(Span::millis(76)) * load_fraction;
    scenario.workloads = vec![reads(rate * 0.7), writes(rate * 0.3)];
}

fn play(scenario: &Scenario) -> Vec<Report> {
    Simulation::play(scenario, Policy::new(bounds()), SPAN)
}

/// The score of the reads and writes as a fraction of the highest possible one. Writes count twice.
fn score(reports: &[Report]) -> f64 {
    let [reads, writes, ..] = reports else {
        panic!("expected two workloads");
    };
    let sum = reads.score() + 2.0 * writes.score();
    sum / f64::from(reads.callers + 2 * writes.callers)
}

#[test]
fn slow_workers_are_avoided_under_a_light_load() {
    let reports = play(&loaded(0.3));
    assert!(score(&reports) >= MIN_CALM_SCORE, "{reports:?}");
}

#[test]
fn nearly_busy_workers_still_serve_in_time() {
    let reports = play(&loaded(0.8));
    assert!(score(&reports) >= MIN_SCORE, "{reports:?}");
}

#[test]
fn the_higher_priority_is_served_first_under_overload() {
    let reports = play(&loaded(1.5));
    let [reads, writes] = reports[..] else {
        panic!("expected two workloads");
    };
    assert!(
        writes.served_fraction() >= reads.served_fraction(),
        "{reports:?}"
    );
    assert!(writes.timely_fraction() >= MIN_SCORE, "{reports:?}");
}

/// Guards against a route of the highest priority that gets few requests: the other routes must not
/// be treated as one priority because of it.
#[test]
fn a_few_requests_of_the_highest_priority_keep_the_order_of_the_others() {
    let mut scenario = loaded(1.5);
    scenario.workloads.push(probes(5.0));
    let reports = play(&scenario);
    let [reads, writes, _] = reports[..] else {
        panic!("expected three workloads");
    };
    assert!(
        writes.served_fraction() >= reads.served_fraction() + PRIORITY_MARGIN,
        "{reports:?}"
    );
    assert!(writes.timely_fraction() >= MIN_SCORE, "{reports:?}");
}

#[test]
fn retries_make_up_for_workers_that_refuse_four_of_ten_requests() {
    let mut scenario = loaded(0.5);
    scenario.refuse_fraction = 0.4;
    let reports = play(&scenario);
    assert!(score(&reports) >= MIN_SCORE, "{reports:?}");
}

#[test]
fn half_load_is_served_with_half_of_the_workers_slow() {
    let mut scenario = Scenario::new(Vec::new());
    scenario.slow_fraction = 0.5;
    set_load(&mut scenario, 0.5);
    let reports = play(&scenario);
    assert!(score(&reports) >= MIN_SCORE, "{reports:?}");
}

/// A scenario with random numbers of data centres, daemons, workers and slots.
fn random_scenario(seed: u64) -> Scenario {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scenario = Scenario::new(Vec::new());
    scenario.seed = seed;
    scenario.centres = rng.usize(1..=8);
    scenario.daemons = scenario.centres * rng.usize(1..=4);
    scenario.workers = scenario.centres * rng.usize(3..=6);
    scenario.slots = rng.u32(2..=16);
    scenario.slow_fraction = 0.3 * rng.f64();
    set_load(&mut scenario, 0.1 + 0.3 * rng.f64());
    scenario
}

#[test]
fn fleets_of_any_size_serve_a_light_load() {
    for seed in 0..RANDOM_SCENARIOS {
        let scenario = random_scenario(seed);
        let reports = Simulation::play(&scenario, Policy::new(bounds()), Span::secs(2));
        assert!(score(&reports) >= MIN_SCORE, "{scenario:?}: {reports:?}");
    }
}
