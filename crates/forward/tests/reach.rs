//! When a daemon counts as cut off from the workers of a service.

use {
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
