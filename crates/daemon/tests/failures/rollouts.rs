//! Rollouts of a version of the service.

use {
    crate::support::{default_plan, run_count, state_dump, wait_until},
    conf::RolloutBounds,
    site::{Rollout, RolloutState},
    standin::{Fleet, LoadProfile, Report, SERVICE, WorkerFault},
    std::{
        thread,
        time::{Duration, Instant},
    },
    unit::Span,
};

const BOUNDS: RolloutBounds = RolloutBounds {
    rollback: Span::secs(5),
    share: 0.1,
    slack: 50.0,
};
const DURATION: Span = Span::secs(24);
const DAEMONS: [usize; 4] = [0, 1, 2, 3];
/// The number of workers of the old version, and of the new one.
const WORKERS: usize = 4;

fn start_fleet() -> Fleet {
    let mut plan = default_plan();
    plan.rollouts = Some(BOUNDS);
    Fleet::start(&plan).expect("a fleet")
}

/// Writes the rollout's object and then starts its workers.
fn begin(fleet: &mut Fleet, fault: WorkerFault) {
    let rollout = Rollout {
        created: 0,
        duration: DURATION,
        name: SERVICE.into(),
        service: SERVICE.into(),
        state: None::<RolloutState>,
        target: "v2".into(),
    };
    fleet.store.put_rollout(&rollout);
    for at in 0..WORKERS {
        let centre = if at < 2 { "a" } else { "b" };
        fleet
            .add_version(
                &new_worker(at),
                centre,
                "v2",
                Duration::from_millis(20),
                fault,
            )
            .expect("a worker");
    }
}

fn new_worker(at: usize) -> String {
    format!("n-{at}")
}

/// The requests that reached the workers of the old version and of the new one.
fn counts(fleet: &Fleet) -> (usize, usize) {
    let old = (0..WORKERS).map(|at| run_count(fleet, &format!("w-{at}")));
    let new = (0..WORKERS).map(|at| run_count(fleet, &new_worker(at)));
    (old.sum(), new.sum())
}

fn state(fleet: &Fleet) -> String {
    let status = fleet.store.rollout_status(SERVICE);
    status["state"].as_str().unwrap_or_default().to_owned()
}

/// Runs load until the state isn't `running` any more, for at most `limit`; returns the load's report
/// and the time that it took.
fn load_until_decided(fleet: &Fleet, limit: Duration) -> (Vec<Report>, Duration) {
    let began = Instant::now();
    let mut reports = Vec::new();
    while began.elapsed() < limit && !["completed", "rolled_back"].contains(&&*state(fleet)) {
        let load = LoadProfile {
            deadline: Span::secs(2),
            duration: Duration::from_millis(700),
            keys: Vec::new(),
            rate: 200.0,
            skew: 0.0,
            write_share: 0.4,
        };
        reports.push(load.run(fleet, &DAEMONS));
    }
    (reports, began.elapsed())
}

fn logs(fleet: &Fleet) -> String {
    let log = |at: usize| fleet.log(at).unwrap_or_default();
    let lines = DAEMONS.map(log).concat();
    let about = lines.lines().filter(|line| line.contains("rollout-"));
    about.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_good_version_is_completed_before_the_deadline_and_the_old_workers_are_not_used_then() {
    // Guards against old workers that still get requests when they are stopped.
    let mut fleet = start_fleet();
    begin(&mut fleet, WorkerFault::None);
    let (reports, took) = load_until_decided(&fleet, DURATION.into());
    assert_eq!(state(&fleet), "completed", "{}", logs(&fleet));
    assert!(took < DURATION.into(), "{took:?}");
    let (old, _) = counts(&fleet);
    for worker in fleet.workers.drain(..WORKERS) {
        fleet.store.remove_worker(&worker.entry.id);
        drop(worker);
    }
    let (more, _) = load(&fleet);
    let served = more.count(standin::Outcome::Served);
    assert_eq!(served, more.requests.len(), "{}", more.text());
    assert_eq!(counts(&fleet).0, old);
    let lost = reports.iter().filter(|report| report.duplicates > 0);
    assert_eq!(lost.count(), 0);
}

#[test]
fn a_bad_version_is_rolled_back_within_its_exposure() {
    // Guards against a verdict that comes late or isn't followed by all daemons.
    let mut fleet = start_fleet();
    begin(&mut fleet, WorkerFault::Errors);
    let (_, took) = load_until_decided(&fleet, DURATION.into());
    assert_eq!(
        state(&fleet),
        "rolled_back",
        "after {took:?}:\n{}",
        logs(&fleet)
    );
    let (old, new) = counts(&fleet);
    assert!(new > 0, "nothing was exposed");
    let allowed = 0.1 * (old + new) as f64 + 50.0;
    assert!((new as f64) < allowed, "{new} of {}", old + new);
    thread::sleep(Duration::from_secs(2));
    let before = counts(&fleet).1;
    load(&fleet);
    assert_eq!(counts(&fleet).1, before);
}

#[test]
fn workers_that_are_replaced_without_a_rollout_get_requests() {
    // Guards against versions that wait for a rollout object that never comes.
    let mut fleet = start_fleet();
    let time = Duration::from_millis(20);
    for at in 0..WORKERS {
        fleet
            .add_version(&new_worker(at), "a", "v2", time, WorkerFault::None)
            .expect("a worker");
    }
    for at in DAEMONS {
        wait_until("the new version is in use", || {
            let state = state_dump(&fleet, at);
            let workers = state["workers"].as_array().map(Vec::as_slice);
            let workers = workers.unwrap_or_default().iter();
            workers.filter(|worker| worker["lane"] == "open").count() == 2 * WORKERS
        });
    }
    for worker in fleet.workers.drain(..WORKERS) {
        fleet.store.remove_worker(&worker.entry.id);
    }
    thread::sleep(Duration::from_millis(1_500));
    let (report, _) = load(&fleet);
    let served = report.count(standin::Outcome::Served);
    assert_eq!(served, report.requests.len(), "{}", report.text());
}

/// A second of load.
fn load(fleet: &Fleet) -> (Report, Duration) {
    let began = Instant::now();
    let load = LoadProfile {
        deadline: Span::secs(2),
        duration: Duration::from_secs(1),
        keys: Vec::new(),
        rate: 80.0,
        skew: 0.0,
        write_share: 0.4,
    };
    (load.run(fleet, &DAEMONS), began.elapsed())
}
