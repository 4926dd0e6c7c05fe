//! Workers that fail in all the ways they may.

use {
    crate::scene::{caller, fleet, plan, play, play_served, runs_of, state, until, usable},
    site::Worker,
    standin::{Caller, Fleet, Outcome, SERVICE, Upstream, WorkerFault},
    std::{thread, time::Duration},
    unit::Span,
};

/// Plays load while a worker has a fault; reads must be served all the same.
fn reads_survive(fault: WorkerFault) {
    let fleet = fleet();
    fleet.workers[0].set_fault(fault);
    let report = play(&fleet, &[0, 1, 2, 3], 1_000);
    let lost = report
        .attempts
        .iter()
        .filter(|(attempt, write)| !write && attempt.outcome != Outcome::Served);
    assert_eq!(lost.count(), 0, "{}", report.text());
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
fn reads_survive_a_worker_that_fails() {
    reads_survive(WorkerFault::Errors);
}

#[test]
fn reads_survive_a_worker_that_never_answers() {
    reads_survive(WorkerFault::Hangs);
}

#[test]
fn no_caller_gets_an_answer_that_comes_late_to_another_request() {
    let fleet = fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::ExtraResponse);
    }
    play(&fleet, &[0, 1, 2, 3], 1_000);
}

#[test]
fn a_write_that_a_worker_ran_and_lost_is_neither_repeated_nor_called_not_run() {
    let fleet = fleet();
    for worker in &fleet.workers {
        worker.set_fault(WorkerFault::Resets);
    }
    let mut caller = caller("c");
    let attempt = fleet.send(&mut caller, 0, "POST", "/payouts/1");
    assert_eq!(
        (attempt.outcome, attempt.status),
        (Outcome::Failed, Some(502))
    );
    assert_eq!(fleet.executions.counts().get(&attempt.id), Some(&1));
}

#[test]
fn a_worker_that_dies_is_passed_over() {
    let mut fleet = fleet();
    fleet.workers.remove(0);
    let report = play(&fleet, &[0, 1, 2, 3], 1_000);
    let served = report.count(Outcome::Served);
    assert_eq!(served, report.attempts.len(), "{}", report.text());
}

#[test]
fn a_worker_that_leaves_gets_nothing_more() {
    let fleet = fleet();
    fleet.store.put_worker(&fleet.workers[0].draining_entry());
    for at in 0..4 {
        until("it is known", || usable(&fleet, at) == 3);
    }
    thread::sleep(Duration::from_millis(500));
    let before = runs_of(&fleet, "w-0");
    play_served(&fleet, &[0, 1, 2, 3], 800);
    assert_eq!(runs_of(&fleet, "w-0"), before);
}

#[test]
fn a_new_worker_gets_work() {
    let mut fleet = fleet();
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
    until("it is used", || {
        play_served(&fleet, &[0, 1, 2, 3], 300);
        runs_of(&fleet, "new") > 0
    });
}

#[test]
fn a_worker_that_took_over_an_address_never_runs_what_was_meant_for_another() {
    let mut fleet = fleet();
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
    let report = play(&fleet, &[0, 1, 2, 3], 1_000);
    let served = report.count(Outcome::Served);
    assert_eq!(served, report.attempts.len(), "{}", report.text());
    assert_eq!(runs_of(&fleet, "other"), 0);
}

#[test]
fn a_cold_worker_gets_no_more_than_it_bears_from_the_whole_fleet() {
    let mut plan = plan();
    plan.worker_centres = vec!["a"];
    let fleet = Fleet::start(&plan).expect("a fleet");
    fleet.workers[0].set_cold(Duration::from_secs(60));
    until("new daemons may send to cold workers", || {
        play(&fleet, &[0, 1, 2, 3], 200);
        fleet.executions.entries().iter().any(|run| run.cold)
    });
    play(&fleet, &[0, 1, 2, 3], 2_500);
    let runs = fleet.executions.entries();
    let cold: Vec<_> = runs.iter().filter(|run| run.cold).collect();
    let bound = 14.0 * 1.5 + 5.0;
    for run in &cold {
        let second = cold.iter().filter(|other| {
            other.began >= run.began && other.began - run.began < Duration::from_secs(1)
        });
        assert!(second.count() as f64 <= bound);
    }
    assert!(!cold.is_empty());
}

#[test]
fn a_worker_whose_health_endpoint_lies_is_used_where_there_is_no_other() {
    let fleet = fleet();
    for worker in &fleet.workers {
        worker.set_healthy(false);
    }
    play_served(&fleet, &[0, 1], 500);
}

#[test]
fn a_slow_machine_is_avoided() {
    let fleet = fleet();
    fleet.workers[0].set_latency_percent(1_000);
    let report = play_served(&fleet, &[0, 1, 2, 3], 1_000);
    assert!(
        runs_of(&fleet, "w-0") * 20 < report.attempts.len(),
        "{}",
        report.text()
    );
}

#[test]
fn a_caller_that_goes_away_ends_the_work() {
    let mut plan = plan();
    plan.work_time = Duration::from_secs(5);
    let fleet = Fleet::start(&plan).expect("a fleet");
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut caller = Caller::new("c", Span::millis(200));
            fleet.send(&mut caller, 0, "GET", "/pictures/1")
        });
        until("it is at work", || !fleet.executions.entries().is_empty());
    });
    until("nothing is under way", || {
        state(&fleet, 0)["requests"]
            .as_array()
            .is_some_and(Vec::is_empty)
    });
    assert!(fleet.executions.entries().iter().all(|run| !run.finished));
}

#[test]
fn a_worker_reborn_under_its_id_is_used_again() {
    let mut fleet = fleet();
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
    let before = runs_of(&fleet, &id);
    until("it is used", || {
        play_served(&fleet, &[0, 1, 2, 3], 300);
        runs_of(&fleet, &id) > before
    });
}
