//! Daemons that stop, freeze, die and come back.

use {
    crate::scene::{PATIENCE, caller, fleet, named, play, play_served, state, until},
    nix::sys::signal::Signal,
    standin::Outcome,
    std::thread,
    unit::Span,
};

#[test]
fn a_calm_fleet_serves_everything() {
    let fleet = fleet();
    play_served(&fleet, &[0, 1, 2, 3], 1_500);
    assert_eq!(named(&fleet, 0, "a"), 2);
    assert_eq!(named(&fleet, 0, "nowhere"), 4);
}

#[test]
fn a_daemon_that_is_told_to_stop_answers_everything_and_ends_well() {
    let mut fleet = fleet();
    let report = thread::scope(|scope| {
        let load = scope.spawn(|| play(&fleet, &[0, 1, 2, 3], 2_500));
        thread::sleep(std::time::Duration::from_millis(800));
        fleet.signal(0, Signal::SIGTERM).expect("running");
        load.join().expect("the load ends")
    });
    assert_eq!(report.count(Outcome::Unanswered), 0, "{}", report.text());
    assert_eq!(report.count(Outcome::Failed), 0, "{}", report.text());
    assert!(fleet.wait_stopped(0, PATIENCE).expect("it ends"));
    until("the directory has dropped it", || {
        named(&fleet, 1, "a") == 1
    });
}

#[test]
fn a_daemon_that_is_told_to_stop_is_not_named_any_more() {
    let fleet = fleet();
    fleet.signal(0, Signal::SIGTERM).expect("running");
    until("the directory has dropped it", || {
        named(&fleet, 2, "a") == 1
    });
}

#[test]
fn killed_daemons_are_dropped_and_taken_back_after_their_restart() {
    let mut fleet = fleet();
    fleet.kill(0);
    fleet.kill(2);
    until("the directory has dropped them", || {
        named(&fleet, 1, "a") == 1 && named(&fleet, 1, "b") == 1
    });
    play_served(&fleet, &[1, 3], 500);
    for at in [0, 2] {
        fleet.launch(at).expect("it starts");
        fleet.wait_ready(at).expect("ready");
    }
    until("the directory names them", || {
        named(&fleet, 1, "a") == 2 && named(&fleet, 1, "b") == 2
    });
    play_served(&fleet, &[0, 1, 2, 3], 500);
}

#[test]
fn a_whole_fleet_recovers_from_the_store_alone() {
    let mut fleet = fleet();
    for at in 0..4 {
        fleet.kill(at);
    }
    for at in 0..4 {
        fleet.launch(at).expect("it starts");
    }
    for at in 0..4 {
        fleet.wait_ready(at).expect("ready");
    }
    play_served(&fleet, &[0, 1, 2, 3], 500);
}

#[test]
fn a_frozen_daemon_is_dropped_and_serves_again_once_it_wakes() {
    let fleet = fleet();
    fleet.signal(0, Signal::SIGSTOP).expect("running");
    until("the directory has dropped it", || {
        named(&fleet, 1, "a") == 1
    });
    let mut config = standin::config(2);
    config.limits.idle_timeout = Span::secs(20);
    fleet.store.put_config(&config);
    fleet.signal(0, Signal::SIGCONT).expect("there");
    until("it knows the configuration", || {
        state(&fleet, 0)["config"] == 2
    });
    until("the directory names it", || named(&fleet, 1, "a") == 2);
    play_served(&fleet, &[0, 1, 2, 3], 500);
}

#[test]
fn a_changed_settings_file_loses_nothing() {
    let fleet = fleet();
    let report = thread::scope(|scope| {
        let load = scope.spawn(|| play_served(&fleet, &[0, 1, 2, 3], 1_200));
        for at in [0, 1, 2, 3, 0] {
            thread::sleep(std::time::Duration::from_millis(150));
            fleet.signal(at, Signal::SIGHUP).expect("running");
        }
        load.join().expect("the load ends")
    });
    assert!(!report.attempts.is_empty());
    until("it is logged", || {
        fleet
            .log(0)
            .is_ok_and(|log| log.contains("\"event\":\"reload\""))
    });
}

#[test]
fn a_daemon_without_the_store_learns_from_the_others() {
    let mut fleet = fleet();
    fleet.kill(3);
    fleet.store.set_fault(standin::StoreFault::Closes);
    fleet.launch(3).expect("it starts");
    fleet.wait_ready(3).expect("ready");
    play_served(&fleet, &[3], 500);
}

#[test]
fn the_first_answer_after_the_order_to_stop_ends_the_connection() {
    let fleet = fleet();
    let mut caller = caller("c");
    let first = fleet.send(&mut caller, 0, "GET", "/pictures/1");
    assert_eq!(first.outcome, Outcome::Served);
    fleet.signal(0, Signal::SIGTERM).expect("running");
    until("it is leaving", || state(&fleet, 0)["stage"] == "leaving");
    // The connection that was open before is still served once.
    let second = fleet.send(&mut caller, 0, "GET", "/pictures/2");
    assert_eq!(second.outcome, Outcome::Served);
}
