//! Workers that ask something of their callers in their responses.

use {
    crate::support::{
        default_plan, metric, new_caller, run_count, run_load, start_fleet, state_dump, wait_until,
    },
    standin::{Execution, Fleet, Outcome, WorkerFault},
    std::{
        thread,
        time::{Duration, Instant},
    },
    unit::{Rate, Span},
};

/// The time that daemons have to comply with a limit.
const SETTLING: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// The most executions that began within any window.
fn most_in_window(runs: &[Execution]) -> usize {
    let within = |first: &Execution| {
        let others = runs.iter();
        let others =
            others.filter(|run| run.began >= first.began && run.began < first.began + WINDOW);
        others.count()
    };
    runs.iter().map(within).max().unwrap_or_default()
}

#[test]
fn a_worker_that_names_a_limit_gets_no_more_from_the_whole_fleet() {
    let mut plan = default_plan();
    plan.worker_centres = vec!["a"];
    let fleet = Fleet::start(&plan).expect("a fleet");
    let limit = 2.0;
    fleet.workers[0].set_rate_limit(Rate::per_second(limit));
    let began = Instant::now();
    run_load(&fleet, &[0, 1, 2, 3], 9_000);
    let runs = fleet.executions.entries();
    let settled = |run: &&Execution| run.began >= began + SETTLING;
    let runs: Vec<Execution> = runs.iter().filter(settled).cloned().collect();
    let bound = limit * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let most = most_in_window(&runs);
    assert!(most as f64 <= bound, "{most} requests of {bound}");
    assert!(!runs.is_empty());
}

/// Whether a worker has told a daemon in a response that it leaves.
fn has_said_leaving(fleet: &Fleet, at: usize, worker: &str) -> bool {
    let state = state_dump(fleet, at);
    let workers = state["workers"].as_array().map(Vec::as_slice);
    let mut workers = workers.unwrap_or_default().iter();
    workers.any(|entry| entry["id"] == worker && entry["leaving"] == true)
}

#[test]
fn a_worker_that_says_it_leaves_gets_no_requests_after_the_drain_time() {
    let fleet = start_fleet();
    fleet.workers[0].set_leaving(true);
    for at in 0..4 {
        wait_until("the daemon was told", || {
            run_load(&fleet, &[at], 200);
            has_said_leaving(&fleet, at, "w-0")
        });
    }
    // The drain time of the fleet's settings.
    thread::sleep(Duration::from_secs(2));
    let before = run_count(&fleet, "w-0");
    run_load(&fleet, &[0, 1, 2, 3], 1_000);
    assert_eq!(run_count(&fleet, "w-0"), before);
}

#[test]
fn a_worker_that_turns_a_request_away_gets_nothing_for_as_long_as_it_asks() {
    let mut plan = default_plan();
    plan.daemon_centres = vec!["a"];
    plan.worker_centres = vec!["a"];
    let fleet = Fleet::start(&plan).expect("a fleet");
    fleet.workers[0].turn_away(Some(Span::secs(4)));
    let mut caller = new_caller("c");
    let first = fleet.send(&mut caller, 0, "POST", "/payouts/1");
    assert_eq!(first.outcome, Outcome::NotRun);
    let arrived = fleet.executions.arrivals().len();
    for _ in 0..20 {
        let result = fleet.send(&mut caller, 0, "GET", "/pictures/1");
        assert_eq!(result.outcome, Outcome::NotRun);
        assert!(result.elapsed < Duration::from_secs(1), "{result:?}");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(fleet.executions.arrivals().len(), arrived);
    let log = fleet.log(0).expect("a log");
    let notice = |line: &&str| line.contains(r#""event":"worker-notice""#);
    assert_eq!(log.lines().filter(notice).count(), 1);
    assert!(!log.contains(r#""event":"passed""#), "no probe is wasted");
    fleet.workers[0].turn_away(None);
    thread::sleep(Duration::from_secs(3));
    let last = fleet.send(&mut caller, 0, "GET", "/pictures/1");
    assert_eq!(last.outcome, Outcome::Served);
}

#[test]
fn a_refusal_that_breaks_off_after_its_head_has_the_worker_left_alone() {
    let mut plan = default_plan();
    plan.daemon_centres = vec!["a"];
    plan.worker_centres = vec!["a"];
    let fleet = Fleet::start(&plan).expect("a fleet");
    fleet.workers[0].turn_away(Some(Span::secs(4)));
    fleet.workers[0].set_fault(WorkerFault::Truncates);
    let mut caller = new_caller("c");
    for _ in 0..20 {
        fleet.send(&mut caller, 0, "GET", "/pictures/1");
        thread::sleep(Duration::from_millis(100));
    }
    // The users' rule allows two beside the one that was turned away.
    assert!(fleet.executions.arrivals().len() <= 3);
}

#[test]
fn a_refusal_of_a_probe_that_was_given_up_has_the_worker_left_alone() {
    let mut plan = default_plan();
    plan.daemon_centres = vec!["a"];
    plan.worker_centres = vec!["a"];
    let fleet = Fleet::start(&plan).expect("a fleet");
    let worker = &fleet.workers[0];
    worker.turn_away(Some(Span::secs(4)));
    // Longer than a daemon waits for the answer to a probe.
    worker.set_fault(WorkerFault::RefusesProbes(Duration::from_millis(120)));
    let mut caller = new_caller("c");
    let began = Instant::now();
    let mut send_until = |end: Duration| {
        while began.elapsed() < end {
            fleet.send(&mut caller, 0, "GET", "/pictures/1");
            thread::sleep(Duration::from_millis(50));
        }
        metric(&fleet, 0, "anvilferry_probes_total")
    };
    // The users' rule counts from half a second after the refusal, and allows two.
    let before = send_until(Duration::from_millis(700));
    let probes = send_until(Duration::from_millis(2_500)) - before;
    assert!(probes <= 2.0, "{probes} probes");
}
