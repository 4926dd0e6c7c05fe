//! Requests that crash each worker that runs them.

use {
    crate::{
        callers::{connect_from, connect_to, get},
        support::{metric, run_count, run_load_served, start_fleet, state_dump, wait_until},
    },
    standin::Fleet,
    std::{
        collections::HashSet,
        io::{Read, Write},
        net::Ipv4Addr,
        thread,
        time::{Duration, Instant},
    },
};

/// The path that crashes workers.
const POISON: &str = "/pictures/poison";
/// How soon all daemons must know of a request that has crashed three workers.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How many workers such a request may reach after that.
const MAX_REPEATS: usize = 3;

/// Sends a request to one daemon after another, again and again, each from another address, with
/// another query and with an id of its own that begins with `prefix`. Returns the last response.
fn repeat(fleet: &Fleet, path: &str, prefix: &str, span: Duration) -> String {
    let end = Instant::now() + span;
    let mut last = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let source = Ipv4Addr::new(127, 0, 0, 2 + (number % 200) as u8);
        let mut conn = connect_from(source, fleet, number % fleet.size());
        let target = format!("{path}?page={number}");
        let request = get(&target, &format!("{prefix}-{number}"), true);
        conn.write_all(request.as_bytes())
            .expect("the daemon reads");
        last.clear();
        // The daemon may also reset the connection after its response.
        let _ = conn.read_to_end(&mut last);
        thread::sleep(Duration::from_millis(50));
    }
    String::from_utf8_lossy(&last).into_owned()
}

/// Guards against a request that ends one worker after the other, whichever daemon it comes to.
#[test]
fn a_request_that_has_crashed_three_workers_is_barred_by_all_daemons() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.crash_on(POISON);
    }
    let last = repeat(&fleet, POISON, "poison", STABLE_WINDOW * 3);
    let runs = fleet.executions.entries();
    let mut crashed = HashSet::new();
    let third = runs.iter().find(|run| {
        crashed.insert(&run.worker);
        crashed.len() == 3
    });
    let third = third.expect("three workers crash").began;
    let repeats = runs
        .iter()
        .filter(|run| run.began > third + STABLE_WINDOW)
        .count();
    assert!(repeats <= MAX_REPEATS, "{repeats} of {}", runs.len());
    assert!(last.starts_with("HTTP/1.1 503"), "{last}");
    run_load_served(&fleet, &[0, 1, 2, 3], 1_000);
}

/// Guards against healthy requests that are barred since workers broke off for another cause.
#[test]
fn a_request_that_workers_break_off_without_crashing_is_not_barred() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_fault(standin::WorkerFault::Resets);
    }
    repeat(&fleet, "/pictures/1", "reset", Duration::from_secs(1));
    assert!(fleet.executions.entries().len() > 6);
    for worker in &fleet.workers {
        worker.set_fault(standin::WorkerFault::None);
    }
    wait_until("the workers are used again", || {
        let last = repeat(&fleet, "/pictures/1", "after", Duration::from_millis(60));
        last.starts_with("HTTP/1.1 200")
    });
    assert_eq!(metric(&fleet, 0, "anvilferry_crashes_total"), 0.0);
}

/// Guards against a bar that a daemon forgets, or never learns of, as it starts.
#[test]
fn a_daemon_that_starts_later_bars_the_request_too() {
    let mut fleet = start_fleet();
    for worker in &fleet.workers {
        worker.crash_on(POISON);
    }
    repeat(&fleet, POISON, "poison", Duration::from_secs(2));
    fleet.kill(0);
    fleet.launch(0).expect("it starts");
    fleet.wait_ready(0).expect("it becomes ready");
    wait_until("the daemon knows of the bar", || {
        state_dump(&fleet, 0)["barred"] == 1
    });
    let runs: Vec<usize> = fleet
        .workers
        .iter()
        .map(|worker| run_count(&fleet, &worker.entry.id))
        .collect();
    let mut conn = connect_to(&fleet, 0);
    conn.write_all(get(POISON, "last", true).as_bytes())
        .expect("the daemon reads");
    let mut text = String::new();
    conn.read_to_string(&mut text).expect("a response");
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    for (worker, runs) in fleet.workers.iter().zip(runs) {
        assert_eq!(run_count(&fleet, &worker.entry.id), runs);
    }
}
