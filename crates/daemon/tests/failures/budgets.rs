//! Limits on the whole fleet while its daemons restart.

use {
    crate::support::start_fleet,
    standin::{Fleet, LoadProfile, WorkerFault},
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
    unit::Span,
};

/// The window, the ratio and the extra retries of the limit on retries in the fleet's settings.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_EXTRA: f64 = 56.0;

/// The largest number of attempts beyond the first of each request in any window.
fn most_repeats(fleet: &Fleet) -> usize {
    let mut seen = HashSet::new();
    let mut repeats: Vec<Instant> = Vec::new();
    for arrival in fleet.executions.arrivals() {
        if !seen.insert(arrival.request) {
            repeats.push(arrival.at);
        }
    }
    let end = |begin: Instant| repeats.partition_point(|at| *at < begin + RETRY_WINDOW);
    let counts = repeats.iter().enumerate();
    let counts = counts.map(|(index, begin)| end(*begin) - index);
    counts.max().unwrap_or_default()
}

#[test]
fn retries_stay_within_the_limit_when_all_daemons_restart() {
    let mut fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::Errors);
    }
    let reads = LoadProfile {
        deadline: Span::secs(2),
        duration: Duration::from_millis(700),
        rate: 80.0,
        ..LoadProfile::default()
    };
    let mut requests = 0;
    for round in 0..4 {
        if round > 0 {
            for at in 0..fleet.size() {
                fleet.kill(at);
                fleet.launch(at).expect("it starts");
            }
            for at in 0..fleet.size() {
                fleet.wait_ready(at).expect("ready");
            }
        }
        requests += reads.run(&fleet, &[0, 1, 2, 3]).requests.len();
    }
    let allowed = RETRY_RATIO * requests as f64 + RETRY_EXTRA;
    let repeats = most_repeats(&fleet);
    assert!(
        repeats as f64 <= allowed,
        "{repeats} repeats of {requests} requests, {allowed} allowed"
    );
}
