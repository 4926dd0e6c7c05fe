//! A fleet and what tests do with it.

use {
    standin::{Caller, Fleet, FleetPlan, LoadProfile, Outcome, Report},
    std::{
        path::Path,
        thread,
        time::{Duration, Instant},
    },
    unit::Span,
};

/// How long anything may take that a test waits for.
pub(crate) const PATIENCE: Duration = Duration::from_secs(15);
const LOOK: Duration = Duration::from_millis(25);

pub(crate) fn plan() -> FleetPlan {
    FleetPlan::new(Path::new(env!("CARGO_BIN_EXE_anvilferryd")))
}

pub(crate) fn fleet() -> Fleet {
    Fleet::start(&plan()).expect("a fleet")
}

pub(crate) fn caller(name: &str) -> Caller {
    Caller::new(name, Span::secs(2))
}

pub(crate) fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain until {what}");
        thread::sleep(LOOK);
    }
}

/// Plays a light load for a while on some daemons.
pub(crate) fn play(fleet: &Fleet, daemons: &[usize], millis: u64) -> Report {
    let load = LoadProfile {
        deadline: Span::secs(2),
        duration: Duration::from_millis(millis),
        rate: 80.0,
        write_share: 0.4,
    };
    let report = load.run(fleet, daemons);
    assert_eq!(report.duplicates, 0, "{}", report.text());
    assert_eq!(report.false_refusals, 0, "{}", report.text());
    assert_eq!(report.count(Outcome::Mixed), 0, "{}", report.text());
    report
}

/// Plays a light load of which everything must be served.
pub(crate) fn play_served(fleet: &Fleet, daemons: &[usize], millis: u64) -> Report {
    let report = play(fleet, daemons, millis);
    let served = report.count(Outcome::Served);
    assert_eq!(served, report.attempts.len(), "{}", report.text());
    report
}

/// How many requests a worker began.
pub(crate) fn runs_of(fleet: &Fleet, worker: &str) -> usize {
    let runs = fleet.executions.entries();
    runs.iter().filter(|run| &*run.worker == worker).count()
}

/// A field of a daemon's state.
pub(crate) fn state(fleet: &Fleet, at: usize) -> serde_json::Value {
    let page = fleet.operators_page(at, "/dump").unwrap_or_default();
    serde_json::from_str(&page).unwrap_or_default()
}

/// How many daemons the directory of a daemon names to a caller of a data centre.
pub(crate) fn named(fleet: &Fleet, at: usize, centre: &str) -> usize {
    Caller::resolve(fleet.directory(at), centre).map_or(0, |addresses| addresses.len())
}

/// Waits until every daemon has a configuration in force.
pub(crate) fn in_force(fleet: &Fleet, version: u64) {
    for at in 0..fleet.size() {
        until("the configuration is in force", || {
            state(fleet, at)["config"] == version
        });
    }
}

/// How many workers a daemon may use, as it sees them.
pub(crate) fn usable(fleet: &Fleet, at: usize) -> usize {
    let state = state(fleet, at);
    let workers = state["workers"].as_array().map(Vec::as_slice);
    let workers = workers.unwrap_or_default().iter();
    workers
        .filter(|worker| worker["standing"] == "usable")
        .count()
}
