//! When a daemon counts as cut off from the workers of a service.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use {
    fastrand::Rng,
    forward::Reach,
    pick::WorkerKey,
    unit::{Span, Time},
};

/// Lets `failures` different workers of 14 fail, one each 100 ms. Returns whether the daemon is cut
/// off then.
fn cut_after(reach: &mut Reach, failures: u32) -> bool {
    for failure in 0..failures {
        let now = Time::at(Span::millis(100 * u64::from(failure + 1)));
        reach.record_failed(now, WorkerKey(failure), || 14);
    }
    reach.is_cut()
}

#[test]
fn a_daemon_is_cut_off_once_half_of_the_workers_have_failed_in_a_row() {
    assert!(!cut_after(&mut Reach::default(), 6));
    assert!(cut_after(&mut Reach::default(), 7));
}

#[test]
fn one_worker_that_fails_again_and_again_cuts_nothing_off() {
    let mut reach = Reach::default();
    for at in 0..100 {
        reach.record_failed(Time::at(Span::secs(at)), WorkerKey(1), || 14);
    }
    assert!(!reach.is_cut());
}

#[test]
fn many_failures_at_one_moment_cut_nothing_off() {
    let mut reach = Reach::default();
    for worker in 0..14 {
        reach.record_failed(Time::at(Span::secs(1)), WorkerKey(worker), || 14);
    }
    assert!(!reach.is_cut());
}

#[test]
fn a_worker_that_responds_ends_the_count() {
    let mut reach = Reach::default();
    assert!(!cut_after(&mut reach, 6));
    reach.record_reached();
    assert!(!cut_after(&mut reach, 6));
}

#[test]
fn all_workers_of_a_small_service_are_enough() {
    let mut reach = Reach::default();
    for at in [0, 400] {
        reach.record_failed(Time::at(Span::millis(at)), WorkerKey(1), || 1);
    }
    assert!(reach.is_cut());
}

#[test]
fn only_a_trial_ends_a_cut() {
    let mut reach = Reach::default();
    assert!(cut_after(&mut reach, 7));
    reach.record_reached();
    assert!(
        reach.is_cut(),
        "a connection from before the cut may live on"
    );
    assert!(reach.record_trial(Time::at(Span::secs(5))));
    assert!(!reach.is_cut());
}

#[test]
fn requests_come_back_step_by_step_after_a_cut() {
    let mut reach = Reach::default();
    let mut rng = Rng::with_seed(1);
    cut_after(&mut reach, 7);
    assert!(!reach.admits(Time::at(Span::secs(4)), &mut rng));
    reach.record_trial(Time::at(Span::secs(5)));
    let mut admitted = |millis: u64| {
        let now = Time::at(Span::millis(millis));
        (0..1_000).filter(|_| reach.admits(now, &mut rng)).count()
    };
    assert_eq!(admitted(5_000), 0);
    assert!((150..350).contains(&admitted(5_250)));
    assert!((650..850).contains(&admitted(5_750)));
    assert_eq!(admitted(6_000), 1_000);
}

#[test]
fn trials_are_due_while_a_daemon_is_cut_off_only() {
    let mut reach = Reach::default();
    assert_eq!(reach.next_trial(), None);
    cut_after(&mut reach, 7);
    let now = reach.next_trial().expect("a trial at once");
    reach.delay_trial(now, &mut Rng::with_seed(1));
    let next = reach.next_trial().expect("another one");
    assert!((Span::millis(125)..=Span::millis(375)).contains(&next.since(now)));
    reach.record_trial(next);
    assert_eq!(reach.next_trial(), None);
}
