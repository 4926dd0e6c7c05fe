//! Daemons that stop, freeze, are killed, restart or reload their settings.

use {
    crate::support::{
        WAIT_TIMEOUT, new_caller, resolved_count, run_load, run_load_served, start_fleet,
        state_dump, wait_until,
    },
    nix::sys::signal::Signal,
    standin::Outcome,
    std::thread,
    unit::Span,
};

#[test]
fn a_fleet_without_failures_serves_all_requests() {
    let fleet = start_fleet();
    run_load_served(&fleet, &[0, 1, 2, 3], 1_500);
    assert_eq!(resolved_count(&fleet, 0, "a"), 2);
    assert_eq!(resolved_count(&fleet, 0, "nowhere"), 4);
}

#[test]
fn a_stopping_daemon_answers_all_requests_and_exits_with_success() {
    let mut fleet = start_fleet();
    let report = thread::scope(|scope| {
        let load = scope.spawn(|| run_load(&fleet, &[0, 1, 2, 3], 2_500));
        thread::sleep(std::time::Duration::from_millis(800));
        fleet.signal(0, Signal::SIGTERM).expect("running");
        load.join().expect("the load ends")
    });
    assert_eq!(report.count(Outcome::Unanswered), 0, "{}", report.text());
    assert_eq!(report.count(Outcome::Failed), 0, "{}", report.text());
    assert!(
        fleet
            .wait_stopped(0, WAIT_TIMEOUT)
            .expect("the daemon ends")
    );
    wait_until("the directory has dropped it", || {
        resolved_count(&fleet, 1, "a") == 1
    });
}

#[test]
fn the_directory_drops_a_stopping_daemon() {
    let fleet = start_fleet();
    fleet.signal(0, Signal::SIGTERM).expect("running");
    wait_until("the directory has dropped it", || {
        resolved_count(&fleet, 2, "a") == 1
    });
}

#[test]
fn the_directory_drops_killed_daemons_and_adds_them_after_a_restart() {
    let mut fleet = start_fleet();
    fleet.kill(0);
    fleet.kill(2);
    wait_until("the directory has dropped them", || {
        resolved_count(&fleet, 1, "a") == 1 && resolved_count(&fleet, 1, "b") == 1
    });
    run_load_served(&fleet, &[1, 3], 500);
    for at in [0, 2] {
        fleet.launch(at).expect("it starts");
        fleet.wait_ready(at).expect("ready");
    }
    wait_until("the directory names them", || {
        resolved_count(&fleet, 1, "a") == 2 && resolved_count(&fleet, 1, "b") == 2
    });
    run_load_served(&fleet, &[0, 1, 2, 3], 500);
}

#[test]
fn a_whole_fleet_restarts_from_the_store_alone() {
    let mut fleet = start_fleet();
    for at in 0..4 {
        fleet.kill(at);
    }
    for at in 0..4 {
        fleet.launch(at).expect("it starts");
    }
    for at in 0..4 {
        fleet.wait_ready(at).expect("ready");
    }
    run_load_served(&fleet, &[0, 1, 2, 3], 500);
}

#[test]
fn a_frozen_daemon_is_dropped_and_serves_again_once_it_resumes() {
    let fleet = start_fleet();
    fleet.signal(0, Signal::SIGSTOP).expect("running");
    wait_until("the directory has dropped it", || {
        resolved_count(&fleet, 1, "a") == 1
    });
    let mut config = standin::config(2);
    config.limits.idle_timeout = Span::secs(20);
    fleet.store.put_config(&config);
    fleet.signal(0, Signal::SIGCONT).expect("there");
    wait_until("the daemon knows the configuration", || {
        state_dump(&fleet, 0)["config"] == 2
    });
    wait_until("the directory names it", || {
        resolved_count(&fleet, 1, "a") == 2
    });
    run_load_served(&fleet, &[0, 1, 2, 3], 500);
}

#[test]
fn reloading_the_settings_fails_no_request() {
    let fleet = start_fleet();
    let report = thread::scope(|scope| {
        let load = scope.spawn(|| run_load_served(&fleet, &[0, 1, 2, 3], 1_200));
        for at in [0, 1, 2, 3, 0] {
            thread::sleep(std::time::Duration::from_millis(150));
            fleet.signal(at, Signal::SIGHUP).expect("running");
        }
        load.join().expect("the load ends")
    });
    assert!(!report.requests.is_empty());
    wait_until("the reload is logged", || {
        fleet
            .log(0)
            .is_ok_and(|log| log.contains("\"event\":\"reload\""))
    });
}

#[test]
fn a_daemon_that_starts_without_the_store_fetches_from_the_others() {
    let mut fleet = start_fleet();
    fleet.kill(3);
    fleet.store.set_fault(standin::StoreFault::Closes);
    fleet.launch(3).expect("it starts");
    fleet.wait_ready(3).expect("ready");
    run_load_served(&fleet, &[3], 500);
}

#[test]
fn an_open_connection_is_served_once_more_by_a_stopping_daemon() {
    let fleet = start_fleet();
    let mut caller = new_caller("c");
    let first = fleet.send(&mut caller, 0, "GET", "/pictures/1");
    assert_eq!(first.outcome, Outcome::Served);
    fleet.signal(0, Signal::SIGTERM).expect("running");
    wait_until("the daemon is leaving", || {
        state_dump(&fleet, 0)["stage"] == "leaving"
    });
    // A connection from before the stop signal may send one more request.
    let second = fleet.send(&mut caller, 0, "GET", "/pictures/2");
    assert_eq!(second.outcome, Outcome::Served);
}
