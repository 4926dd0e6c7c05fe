//! Which callers' requests are read while bodies take much memory.

use call::{BodyMemory, ReaderKey};

const FULL: usize = 32 << 20;
const LARGE: usize = 1 << 20;

fn key(number: u64) -> ReaderKey {
    (number as usize, number)
}

#[test]
fn everything_is_read_while_there_is_memory() {
    let mut memory = BodyMemory::default();
    for number in 0..100 {
        assert!(memory.may_read(key(number), LARGE, 2 * LARGE, FULL - 2 * LARGE));
    }
    assert!(!memory.has_paused());
    assert!(BodyMemory::is_exempt(1_000, false));
    assert!(!BodyMemory::is_exempt(1_000, true) && !BodyMemory::is_exempt(LARGE, false));
}

/// Guards against requests that are all incomplete and wait for each other.
#[test]
fn one_large_request_at_a_time_is_read_beyond_the_limit() {
    let mut memory = BodyMemory::default();
    assert!(memory.may_read(key(1), LARGE, LARGE, FULL));
    assert!(!memory.may_read(key(2), LARGE, LARGE, FULL));
    assert!(!memory.may_read(key(3), LARGE, LARGE, FULL));
    assert!(memory.may_read(key(1), 2 * LARGE, LARGE, 2 * FULL));
    assert!(memory.take_resumed(2 * FULL).is_empty());
    memory.end_holder();
    assert_eq!(memory.take_resumed(2 * FULL), [key(2)]);
    assert!(memory.may_read(key(2), LARGE, LARGE, 2 * FULL));
    assert!(memory.take_resumed(FULL).is_empty());
    memory.end_holder();
    assert_eq!(memory.take_resumed(FULL), [key(3)]);
}

/// Guards against complete requests that pile up while their responses are due: without this, each
/// completion let the next request in.
#[test]
fn the_next_large_request_waits_for_the_response_to_the_one_before() {
    let mut memory = BodyMemory::default();
    assert!(memory.may_read(key(1), LARGE, LARGE, FULL));
    memory.request_complete(key(2));
    assert!(memory.may_read(key(1), LARGE, LARGE, FULL));
    memory.request_complete(key(1));
    assert!(
        !memory.may_read(key(1), LARGE, LARGE, FULL),
        "its next request"
    );
    assert!(!memory.may_read(key(2), LARGE, LARGE, FULL));
    assert!(memory.take_resumed(FULL).is_empty());
    memory.end_holder();
    assert_eq!(memory.take_resumed(FULL), [key(1)]);
}

/// Guards against a large request that waits for ever while smaller ones go on.
#[test]
fn a_request_larger_than_the_limit_is_read_as_the_only_one_beyond_it() {
    let mut memory = BodyMemory::default();
    assert!(memory.may_read(key(1), LARGE, 4 * FULL, LARGE));
    assert_eq!(memory.holder(), Some((key(1), false)));
    assert!(!memory.may_read(key(2), LARGE, LARGE, 4 * FULL));
}

/// Guards against callers that pass the limit by many small requests on one connection, and against
/// a loop that reads them again and again.
#[test]
fn pipelined_small_requests_wait_until_memory_is_free() {
    let mut memory = BodyMemory::default();
    assert!(!memory.may_read(key(1), 0, 1, FULL));
    assert_eq!(memory.holder(), None);
    assert!(memory.take_resumed(FULL).is_empty());
    assert!(memory.has_paused());
    assert_eq!(memory.take_resumed(FULL - 1), [key(1)]);
    assert!(!memory.has_paused());
}

#[test]
fn connections_are_read_again_in_their_order_as_far_as_there_is_memory() {
    let mut memory = BodyMemory::default();
    assert!(memory.may_read(key(0), LARGE, LARGE, FULL));
    for number in 1..10 {
        assert!(!memory.may_read(key(number), LARGE, LARGE, FULL));
        assert!(
            !memory.may_read(key(number), LARGE, LARGE, FULL),
            "counted once"
        );
    }
    assert!(memory.take_resumed(FULL - LARGE + 1).is_empty());
    assert_eq!(memory.take_resumed(FULL - 2 * LARGE), [key(1), key(2)]);
    let others: Vec<_> = (3..10).map(key).collect();
    assert_eq!(memory.take_resumed(0), others);
}
