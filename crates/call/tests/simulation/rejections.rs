//! Workers that reject all requests while their health probes succeed and show free slots.

use {
    crate::{
        report::Report,
        scenario::{Scenario, reads, writes},
        sim_daemon::bounds,
        simulation::Simulation,
    },
    call::Policy,
    unit::Span,
};

/// The fraction of the workers that rejected everything in the load that this guards against: 91
/// of 214.
const REJECTING: f64 = 0.43;

/// What the callers of a run got, and how many requests arrived at rejecting workers.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    callers: u32,
    refused: u32,
    rejected: usize,
    timely: u32,
}

/// Plays a disruption in which a fraction of the workers rejects all requests for eight seconds,
/// and lets them recover for four.
fn play(daemons: usize, load_fraction: f64) -> Outcome {
    let mut scenario = Scenario::new(Vec::new());
    scenario.daemons = daemons;
    scenario.workers = daemons * 2;
    scenario.tells = false;
    let rate = scenario.capacity(Span::millis(76)) * load_fraction;
    scenario.workloads = vec![reads(rate * 0.7), writes(rate * 0.3)];
    let mut simulation = Simulation::new(&scenario, Policy::new(bounds()));
    simulation.run(Span::secs(2));
    simulation.clear_reports();
    simulation.scenario.turning_away = (scenario.workers as f64 * REJECTING) as usize;
    simulation.run(Span::secs(8));
    simulation.scenario.turning_away = 0;
    simulation.run(Span::secs(4));
    let sum = |field: fn(&Report) -> u32| simulation.reports().iter().map(field).sum();
    Outcome {
        callers: sum(|report| report.callers),
        refused: sum(|report| report.refused),
        rejected: simulation.rejected,
        timely: sum(|report| report.timely),
    }
}

/// Guards against workers that reject everything and yet get their part of the requests: without
/// outlier ejection eight to ten of 100 callers were refused at this load, and there were half as
/// many rejections as callers.
#[test]
fn callers_are_served_while_two_of_five_workers_reject_everything() {
    for daemons in [13, 46] {
        let outcome = play(daemons, 0.3);
        let callers = f64::from(outcome.callers);
        assert!(f64::from(outcome.refused) <= 0.01 * callers, "{outcome:?}");
        assert!(outcome.rejected as f64 <= 0.25 * callers, "{outcome:?}");
        assert!(f64::from(outcome.timely) >= 0.93 * callers, "{outcome:?}");
    }
}
