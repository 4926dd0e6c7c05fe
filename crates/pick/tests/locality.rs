//! Tests of when a request may leave its data centre.

#![allow(clippy::expect_used, reason = "tests")]

use {
    pick::{PriceError, TransferEstimate, TransferPrice, has_remote_room},
    quickcheck::quickcheck,
    site::LoadReport,
    unit::Span,
};

fn price(text: &str) -> TransferPrice {
    text.parse().expect("a price")
}

fn load(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        latency_percent: 100,
        running,
        slots: 4,
        waiting,
    }
}

quickcheck! {
    fn a_held_request_can_still_leave_in_time(bytes: u32, left: u16, expected: u16) -> bool {
        // Guards against a request that waits for a local worker until no other can serve it in time.
        let (left, expected) = (Span::millis(left.into()), Span::millis(expected.into()));
        let hold = price("5000").hold(f64::from(bytes), left, expected);
        hold == Span::ZERO || hold + expected <= left
    }

    fn more_bytes_never_leave_sooner(few: u32, more: u32) -> bool {
        let (few, more) = (few.min(more), few.max(more));
        let hold = |bytes: u32| {
            price("5000").hold(f64::from(bytes), Span::secs(2), Span::millis(300))
        };
        hold(few) <= hold(more)
    }
}

#[test]
fn a_small_response_leaves_at_once_and_a_large_one_waits() {
    let (left, expected) = (Span::secs(2), Span::millis(200));
    let hold = |bytes: f64| price("5000").hold(bytes, left, expected);
    assert!(hold(1_500.0) < Span::millis(20));
    assert!(hold(90_000.0) > Span::millis(600));
    // Its bytes cost as much as it is worth, so it leaves only when it would else be late.
    assert_eq!(hold(1e9), Span::millis(1_720));
}

#[test]
fn a_price_of_zero_holds_nothing() {
    let hold = price("0").hold(1e9, Span::secs(2), Span::millis(200));
    assert_eq!(hold, Span::ZERO);
}

#[test]
fn the_last_slot_of_a_worker_is_left_to_its_own_data_centre() {
    // Guards against a data centre that overflows into another until that overflows in turn.
    assert!(has_remote_room(load(2, 0)));
    assert!(!has_remote_room(load(3, 0)));
    assert!(!has_remote_room(load(2, 1)));
}

#[test]
fn prices_that_are_no_numbers_or_negative_are_refused() {
    for text in ["", "-1", "NaN", "inf", "cheap"] {
        assert_eq!(text.parse::<TransferPrice>(), Err(PriceError), "{text}");
    }
}

#[test]
fn an_estimate_follows_the_bytes_of_requests() {
    let mut estimate = TransferEstimate::default();
    assert_eq!(estimate.bytes(), 0.0);
    estimate.record(1_000);
    assert_eq!(estimate.bytes(), 1_000.0);
    for _ in 0..100 {
        estimate.record(50_000);
    }
    assert!(estimate.bytes() > 45_000.0);
}
