//! What a fleet does in all while its daemons restart.

use {
    crate::{
        scenario::{Scenario, reads},
        sim_daemon::bounds,
        simulation::Simulation,
    },
    call::Policy,
    unit::Span,
};

/// The time between two restarts of all daemons.
const RESTART_PERIOD: Span = Span::secs(3);
const RESTARTS: usize = 4;
/// How many retries beyond the ratio the fleet may send in a window, as a multiple of its daemons.
const EXTRA_RETRIES: f64 = 4.0;

/// Workers refuse seven of ten requests while all daemons restart several times.
fn play_restarts(daemons: usize) {
    let mut scenario = Scenario::new(vec![reads(200.0)]);
    scenario.daemons = daemons;
    scenario.workers = 40;
    scenario.refuse_fraction = 0.7;
    let mut bounds = bounds();
    bounds.retry_extra = EXTRA_RETRIES * daemons as f64;
    let policy = Policy::new(bounds);
    let mut simulation = Simulation::new(&scenario, policy);
    for _ in 0..RESTARTS {
        simulation.run(RESTART_PERIOD);
        for daemon in 0..daemons {
            simulation.restart(daemon, policy);
        }
    }
    simulation.run(RESTART_PERIOD);
    simulation.retry_rule.check(&bounds);
}

#[test]
fn retries_stay_within_the_limit_when_all_daemons_of_a_small_fleet_restart() {
    play_restarts(13);
}

#[test]
fn retries_stay_within_the_limit_when_all_daemons_of_a_large_fleet_restart() {
    play_restarts(46);
}

/// Guards against a restart right after a burst: what a process saved up for retries it had sent, and
/// the next one earned the same again.
#[test]
fn retries_stay_within_the_limit_when_all_daemons_restart_after_a_burst_of_failures() {
    let daemons = 46;
    let mut scenario = Scenario::new(vec![reads(200.0)]);
    scenario.daemons = daemons;
    scenario.workers = 40;
    let mut bounds = bounds();
    bounds.retry_extra = EXTRA_RETRIES * daemons as f64;
    let policy = Policy::new(bounds);
    let mut simulation = Simulation::new(&scenario, policy);
    simulation.run(bounds.retry_window);
    simulation.scenario.refuse_fraction = 0.9;
    simulation.run(RESTART_PERIOD);
    for daemon in 0..daemons {
        simulation.restart(daemon, policy);
    }
    simulation.run(bounds.retry_window);
    simulation.retry_rule.check(&bounds);
}
