//! Requests that arrive right after a daemon's start.

use {
    call::StartupHold,
    unit::{Span, Time},
};

const START: Time = Time::at(Span::secs(7));

#[test]
fn requests_are_held_until_the_daemon_is_ready() {
    let mut hold = StartupHold::new(START);
    assert!(hold.is_active(START + Span::millis(200)));
    hold.end();
    assert!(!hold.is_active(START + Span::millis(200)));
    assert_eq!(hold.next_check(), None);
}

#[test]
fn requests_are_answered_after_half_a_second_at_most() {
    let hold = StartupHold::new(START);
    assert!(hold.is_active(START + Span::millis(499)));
    assert!(!hold.is_active(START + Span::millis(500)));
    assert_eq!(hold.next_check(), Some(START + Span::millis(500)));
}
