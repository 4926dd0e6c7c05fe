//! Workers that fail, drain, restart, are slow or are in their cold start.

use {
    crate::{
        callers::{exchange, get},
        support::{
            default_plan, new_caller, run_count, run_load, run_load_served, start_fleet,
            state_dump, usable_workers, wait_for_retries, wait_until,
        },
    },
    site::Worker,
    standin::{Caller, Fleet, Outcome, SERVICE, Upstream, WorkerFault},
    std::{thread, time::Duration},
    unit::Span,
};

/// Runs load while one worker has a fault, and asserts that every read is served.
fn reads_survive(fault: WorkerFault) {
    let fleet = start_fleet();
    wait_for_retries(&fleet);
    fleet.workers[0].set_fault(fault);
    let report = run_load(&fleet, &[0, 1, 2, 3], 1_000);
    let unserved = report
        .requests
        .iter()
        .filter(|(result, write)| !write && result.outcome != Outcome::Served);
    assert_eq!(unserved.count(), 0, "{}", report.text());
}

#[test]
fn reads_survive_a_worker_that_resets() {
    reads_survive(WorkerFault::Resets);
}

#[test]
fn reads_survive_a_worker_that_cuts_its_answers_short() {
    reads_survive(WorkerFault::Truncates);
}

#[test]
fn reads_survive_a_worker_that_returns_errors() {
    reads_survive(WorkerFault::Errors);
}

#[test]
fn reads_survive_a_worker_that_never_answers() {
    reads_survive(WorkerFault::Hangs);
}

#[test]
fn no_caller_gets_a_late_response_to_another_request() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::ExtraResponse);
    }
    run_load(&fleet, &[0, 1, 2, 3], 1_000);
}

/// Guards against a late copy of a refusal that names no request, such as one of a health probe:
/// taken for the response to a write, it had the write run again elsewhere.
#[test]
fn a_refusal_that_names_no_request_is_not_taken_for_that_of_the_current_one() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::ExtraRefusal);
    }
    run_load(&fleet, &[0, 1, 2, 3], 1_000);
}

/// Guards against an earlier refusal that a worker writes once more on a kept connection: taken for
/// the response to another request, it had that run again, or reported as not run.
#[test]
fn a_refusal_that_is_written_again_changes_no_other_request() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::RepeatsRefusal);
    }
    let report = run_load(&fleet, &[0, 1, 2, 3], 2_000);
    assert_eq!(report.count(Outcome::Failed), 0, "{}", report.text());
}

/// Guards against a damaged head of a worker's response that reaches callers, as it is or mended.
#[test]
fn a_response_with_a_damaged_head_is_never_delivered() {
    let faults = [
        WorkerFault::SpoilsStatus,
        WorkerFault::SpoilsName(b' '),
        WorkerFault::SpoilsName(b'\t'),
        WorkerFault::SpoilsName(0),
        WorkerFault::SpoilsName(0x1b),
    ];
    for fault in faults {
        let fleet = start_fleet();
        for worker in &fleet.workers {
            worker.set_fault(fault);
        }
        for (id, method) in [("r-1", "GET"), ("r-2", "POST")] {
            let request = get("/payouts/1", id, true).replacen("GET", method, 1);
            let answer = exchange(&fleet, request.as_bytes());
            assert!(answer.starts_with("HTTP/1.1 502"), "{fault:?}: {answer}");
            assert!(!answer.contains("Signature"), "{fault:?}: {answer}");
        }
    }
}

#[test]
fn reads_survive_a_worker_that_damages_the_status_of_its_answers() {
    reads_survive(WorkerFault::SpoilsStatus);
}

/// Guards against a response that ends within its head and is passed on as a whole one.
#[test]
fn a_response_that_ends_within_its_head_is_never_delivered() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::CutsHead);
    }
    let report = run_load(&fleet, &[0, 1, 2, 3], 1_000);
    assert_eq!(report.count(Outcome::Served), 0, "{}", report.text());
}

#[test]
fn a_write_that_may_have_run_is_neither_retried_nor_reported_as_not_run() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::Resets);
    }
    let mut caller = new_caller("c");
    let result = fleet.send(&mut caller, 0, "POST", "/payouts/1");
    assert_eq!(
        (result.outcome, result.status),
        (Outcome::Failed, Some(502))
    );
    assert_eq!(fleet.executions.counts().get(&result.id), Some(&1));
}

#[test]
fn requests_avoid_a_dead_worker() {
    let mut fleet = start_fleet();
    fleet.workers.remove(0);
    let report = run_load(&fleet, &[0, 1, 2, 3], 1_000);
    let served = report.count(Outcome::Served);
    assert_eq!(served, report.requests.len(), "{}", report.text());
}

#[test]
fn a_draining_worker_gets_no_requests() {
    let fleet = start_fleet();
    fleet.store.put_worker(&fleet.workers[0].draining_entry());
    for at in 0..4 {
        wait_until("the draining worker is known", || {
            usable_workers(&fleet, at) == 3
        });
    }
    thread::sleep(Duration::from_millis(500));
    let before = run_count(&fleet, "w-0");
    run_load_served(&fleet, &[0, 1, 2, 3], 800);
    assert_eq!(run_count(&fleet, "w-0"), before);
}

#[test]
fn a_new_worker_gets_requests() {
    let mut fleet = start_fleet();
    let worker = Upstream::start(
        "new",
        SERVICE,
        "a",
        Duration::from_millis(20),
        &fleet.executions,
    );
    let worker = worker.expect("a worker");
    fleet.store.put_worker(&worker.entry);
    fleet.workers.push(worker);
    wait_until("the worker gets requests", || {
        run_load_served(&fleet, &[0, 1, 2, 3], 300);
        run_count(&fleet, "new") > 0
    });
}

#[test]
fn a_worker_that_took_over_an_address_runs_no_request_for_another_service() {
    let mut fleet = start_fleet();
    let old = fleet.workers.remove(0);
    let address = old.entry.address;
    drop(old);
    let other = Upstream::start_at(
        address,
        "other",
        "another-service",
        "a",
        Duration::from_millis(20),
        &fleet.executions,
    );
    fleet.workers.push(other.expect("the address is free"));
    let report = run_load(&fleet, &[0, 1, 2, 3], 1_000);
    let served = report.count(Outcome::Served);
    assert_eq!(served, report.requests.len(), "{}", report.text());
    assert_eq!(run_count(&fleet, "other"), 0);
}

#[test]
fn the_whole_fleet_keeps_to_the_limit_of_a_cold_worker() {
    let mut plan = default_plan();
    plan.worker_centres = vec!["a"];
    let fleet = Fleet::start(&plan).expect("a fleet");
    fleet.workers[0].set_cold(Duration::from_secs(60));
    wait_until("new daemons may send to cold workers", || {
        run_load(&fleet, &[0, 1, 2, 3], 200);
        fleet.executions.entries().iter().any(|run| run.cold)
    });
    run_load(&fleet, &[0, 1, 2, 3], 2_500);
    let runs = fleet.executions.entries();
    let cold: Vec<_> = runs.iter().filter(|run| run.cold).collect();
    // The cold-start rate of the service per second, times the cold factor, plus the cold slack.
    let bound = 14.0 * 1.5 + 5.0;
    for run in &cold {
        let in_second = cold.iter().filter(|other| {
            other.began >= run.began && other.began - run.began < Duration::from_secs(1)
        });
        assert!(in_second.count() as f64 <= bound);
    }
    assert!(!cold.is_empty());
}

#[test]
fn workers_that_report_unhealthy_are_used_if_there_are_no_others() {
    let fleet = start_fleet();
    for worker in &fleet.workers {
        worker.set_healthy(false);
    }
    run_load_served(&fleet, &[0, 1], 500);
}

#[test]
fn a_slow_worker_is_avoided() {
    let fleet = start_fleet();
    fleet.workers[0].set_latency_percent(1_000);
    let report = run_load_served(&fleet, &[0, 1, 2, 3], 1_000);
    assert!(
        run_count(&fleet, "w-0") * 20 < report.requests.len(),
        "{}",
        report.text()
    );
}

#[test]
fn a_disconnected_caller_cancels_its_request() {
    let mut plan = default_plan();
    plan.work_time = Duration::from_secs(5);
    let fleet = Fleet::start(&plan).expect("a fleet");
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut caller = Caller::new("c", Span::millis(200));
            fleet.send(&mut caller, 0, "GET", "/pictures/1")
        });
        wait_until("the worker runs the request", || {
            !fleet.executions.entries().is_empty()
        });
    });
    wait_until("no request is in flight", || {
        state_dump(&fleet, 0)["requests"]
            .as_array()
            .is_some_and(Vec::is_empty)
    });
    assert!(fleet.executions.entries().iter().all(|run| !run.finished));
}

#[test]
fn a_worker_restarted_under_its_id_is_used_again() {
    let mut fleet = start_fleet();
    let old = fleet.workers.remove(0);
    let id = old.entry.id.clone();
    drop(old);
    let new = Upstream::start(
        &id,
        SERVICE,
        "a",
        Duration::from_millis(20),
        &fleet.executions,
    );
    let mut new = new.expect("a worker");
    new.entry = Worker {
        started_ms: 2,
        ..new.entry.clone()
    };
    fleet.store.put_worker(&new.entry);
    fleet.workers.push(new);
    let before = run_count(&fleet, &id);
    wait_until("the worker gets requests", || {
        run_load_served(&fleet, &[0, 1, 2, 3], 300);
        run_count(&fleet, &id) > before
    });
}
