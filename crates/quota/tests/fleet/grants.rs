//! A grantor's tokens and its answers to requests for them.

use {
    crate::harness::{BOUNDS, ip},
    quota::{Allowance, Grantor, Message},
    unit::{Rate, Span, Time},
};

fn allowance(rate: f64, burst: u32) -> Allowance {
    Allowance::new(Rate::per_second(rate).expect("valid"), burst, &BOUNDS)
}

fn granted(message: &Option<Message>) -> u16 {
    match message {
        Some(Message::Grant { count, .. }) => *count,
        Some(Message::Deny { .. }) => 0,
        other => panic!("{other:?}"),
    }
}

/// Guards against a bucket that is full at the start of a tenure, which would add a whole burst with
/// each change of the grantor.
#[test]
fn a_new_grantor_has_no_tokens() {
    let start = Time::at(Span::secs(9));
    let allowance = allowance(5.0, 100);
    let mut grantor = Grantor::new(start);
    let first = grantor.request(start, ip(1), (7, 1), 50, &allowance);
    assert_eq!(granted(&first), 0);
    let later = start + Span::secs(1);
    let second = grantor.request(later, ip(1), (7, 2), 50, &allowance);
    assert_eq!(granted(&second), 5);
}

/// Guards against a second grant for a request that was repeated or doubled on its way.
#[test]
fn a_repeated_request_gets_the_same_grant() {
    let start = Time::at(Span::secs(9));
    let allowance = allowance(10.0, 100);
    let mut grantor = Grantor::new(start);
    let later = start + Span::secs(2);
    let first = grantor.request(later, ip(1), (7, 1), 5, &allowance);
    let tokens = grantor.tokens(later, 7, &allowance);
    let again = grantor.request(later + Span::millis(40), ip(1), (7, 1), 5, &allowance);
    assert_eq!(first, again);
    assert_eq!(grantor.tokens(later, 7, &allowance), tokens);
    // Several requests of one daemon may be pending.
    let second = grantor.request(later, ip(1), (7, 2), 3, &allowance);
    assert_eq!(granted(&second), 3);
    assert_eq!(grantor.request(later, ip(1), (7, 1), 5, &allowance), first);
    assert_eq!(
        granted(&grantor.request(later, ip(2), (7, 1), 5, &allowance)),
        5
    );
}

/// Guards against an account of a small rate that waits many seconds for its first token.
#[test]
fn a_small_rate_has_a_token_two_seconds_after_a_change() {
    let start = Time::at(Span::secs(9));
    let allowance = allowance(0.2, 0);
    let mut grantor = Grantor::new(start);
    let later = start + Span::secs(2);
    let first = grantor.request(later, ip(1), (7, 2), 1, &allowance);
    assert_eq!(granted(&first), 1);
    let second = grantor.request(later, ip(1), (7, 3), 1, &allowance);
    assert_eq!(granted(&second), 0);
}

/// Guards against callers that are all told the same time.
#[test]
fn a_denied_request_is_told_when_there_is_room() {
    let start = Time::at(Span::secs(9));
    let allowance = allowance(4.0, 0);
    let mut grantor = Grantor::new(start);
    let mut waits = Vec::new();
    for daemon in 0..3 {
        let reply = grantor.request(start, ip(daemon), (7, 1), 1, &allowance);
        let Some(Message::Deny { wait_ms, .. }) = reply else {
            panic!("{reply:?}");
        };
        waits.push(wait_ms);
    }
    assert_eq!(waits, [213, 426, 639]);
}

/// Guards against requests that come again and again while a token is about to be there, and against
/// later requests that are served before earlier ones.
#[test]
fn requests_are_queued_for_a_short_time_and_served_in_order() {
    let start = Time::at(Span::secs(9));
    let allowance = allowance(50.0, 0);
    let mut grantor = Grantor::new(start);
    for daemon in 0..3 {
        assert_eq!(
            grantor.request(start, ip(daemon), (7, 1), 1, &allowance),
            None
        );
    }
    let again = start + Span::millis(5);
    assert_eq!(grantor.request(again, ip(0), (7, 1), 1, &allowance), None);
    let mut served = Vec::new();
    while let Some(at) = grantor.next_due(|_| Some(allowance)) {
        for (to, reply) in grantor.serve(at, |_| Some(allowance)) {
            assert_eq!(granted(&Some(reply)), 1);
            served.push((to, at.since(start).as_millis()));
        }
    }
    assert_eq!(served, [(ip(0), 19), (ip(1), 38), (ip(2), 57)]);
}
