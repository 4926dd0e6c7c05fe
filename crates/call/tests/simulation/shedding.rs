//! Load shedding, and that requests which wait leave the workers' probes to others.

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

/// Plays reads and writes, as fractions of the capacity, with 46 daemons.
fn play(read_load: f64, write_load: f64, evacuated: bool) -> [Report; 2] {
    let mut scenario = Scenario::new(Vec::new());
    (scenario.daemons, scenario.workers) = (46, 60);
    let capacity = scenario.capacity(Span::millis(76));
    scenario.workloads = vec![reads(capacity * read_load), writes(capacity * write_load)];
    let mut simulation = Simulation::new(&scenario, Policy::new(bounds()));
    simulation.run(Span::secs(1));
    if evacuated {
        simulation.evacuate(0);
    }
    simulation.run(Span::secs(1));
    simulation.clear_reports();
    simulation.run(Span::secs(3));
    [simulation.reports()[0], simulation.reports()[1]]
}

/// Guards against requests that wait and take the probes which those that could be served need:
/// 0.45 of the reads and 0.86 of the writes were in time at this load, a fifth of the reads refused.
#[test]
fn a_larger_fleet_serves_three_quarters_of_its_capacity() {
    let [reads, writes] = play(0.525, 0.225, false);
    assert!(reads.timely_fraction() >= 0.75, "{reads:?}");
    assert!(writes.timely_fraction() >= 0.90, "{writes:?}");
}

/// Guards against a burst of less urgent requests that takes the more urgent ones with it: 0.59 of
/// the writes and 0.19 of the reads were in time.
#[test]
fn a_burst_of_one_kind_with_a_data_centre_evacuated_leaves_the_more_urgent_kind() {
    let [reads, writes] = play(0.77, 0.15, true);
    assert!(writes.timely_fraction() >= 0.82, "{writes:?}");
    assert!(reads.timely_fraction() >= 0.24, "{reads:?}");
}

/// Guards against shedding where requests have a fair chance.
#[test]
fn no_request_is_refused_at_a_usual_load() {
    for report in play(0.35, 0.15, false) {
        assert_eq!(report.refused, 0, "{report:?}");
    }
}
