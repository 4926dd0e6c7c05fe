//! Responses that are kept whole or passed on while they arrive.

use {
    call::{Relay, RelayFailure, keeps_whole},
    unit::{Span, Time},
};

const KB: usize = 1 << 10;
const MB: usize = 1 << 20;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::millis(millis)
}

/// A relay whose request's time ends at 1,000 ms.
fn relay() -> Relay {
    Relay::new(at(1_000), at(0))
}

#[test]
fn small_responses_are_kept_whole_and_large_ones_are_not() {
    assert!(keeps_whole(Some(90 * KB), 0, || 0));
    assert!(keeps_whole(Some(MB), 0, || 4 * MB));
    assert!(!keeps_whole(Some(MB + 1), 0, || 0));
    assert!(!keeps_whole(Some(16 * MB), 0, || 0));
}

#[test]
fn a_length_that_is_not_known_counts_as_what_has_arrived() {
    assert!(keeps_whole(None, 90 * KB, || 90 * KB));
    assert!(!keeps_whole(None, MB + 1, || MB + 1));
}

#[test]
fn with_much_in_memory_only_short_responses_are_kept_whole() {
    assert!(!keeps_whole(Some(90 * KB), 10 * KB, || 4 * MB + 1));
    assert!(keeps_whole(Some(32 * KB), 10 * KB, || 64 * MB));
}

#[test]
fn a_slow_caller_pauses_the_worker_until_it_has_taken_most() {
    let mut relay = relay();
    relay.record_progress(at(1), 31 * KB);
    assert!(!relay.is_paused());
    relay.record_progress(at(2), 32 * KB);
    assert!(relay.is_paused());
    relay.record_progress(at(3), 9 * KB);
    assert!(relay.is_paused());
    relay.record_progress(at(4), 8 * KB);
    assert!(!relay.is_paused());
}

#[test]
fn nothing_ends_it_before_the_deadline() {
    let mut relay = relay();
    assert_eq!(relay.failure(at(1_000)), None);
    relay.record_progress(at(1), 64 * KB);
    assert_eq!(relay.failure(at(1_000)), None);
}

#[test]
fn a_worker_that_goes_on_sending_slowly_is_late_soon_after_the_deadline() {
    let mut relay = relay();
    for millis in (50..1_100).step_by(50) {
        assert_eq!(relay.failure(at(millis)), None, "after {millis} ms");
        relay.record_progress(at(millis), 0);
    }
    assert_eq!(relay.failure(at(1_100)), Some(RelayFailure::WorkerLate));
}

#[test]
fn a_caller_that_goes_on_taking_bytes_after_the_deadline_gets_the_whole_response() {
    let mut relay = relay();
    relay.record_progress(at(900), 40 * KB);
    for second in 1..20 {
        assert_eq!(relay.failure(at(second * 1_000)), None, "after {second} s");
        relay.record_progress(at(second * 1_000), 8 * KB);
        assert!(!relay.is_paused());
        relay.record_progress(at(second * 1_000 + 1), 40 * KB);
    }
}

#[test]
fn a_caller_that_takes_nothing_is_dropped_after_the_deadline() {
    let mut relay = relay();
    relay.record_progress(at(10), 40 * KB);
    assert_eq!(relay.next_check(), at(3_000));
    assert_eq!(relay.failure(at(2_999)), None);
    assert_eq!(relay.failure(at(3_000)), Some(RelayFailure::CallerStalled));
}
