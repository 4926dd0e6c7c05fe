//! A store that comes back from an older copy, in a new era.

use {
    crate::harness::{Harness, at_rev, is_create, is_list, is_stale_list, is_watch, page},
    platform::StoreReply,
    site::{Departure, Era, Rev, Topic},
    store::{Role, StoreCallError, StoreEvent},
    unit::Span,
};

const SECOND: Era = Era(1);

/// A watcher whose three watches are pending, in the store's first era.
fn watcher() -> Harness {
    let mut harness = Harness::watching();
    observe(&mut harness, Era::default());
    harness.events.clear();
    harness
}

fn observe(harness: &mut Harness, era: Era) {
    let actions = harness.client.observe_era(harness.now, era);
    harness.apply(actions);
}

#[test]
fn a_watcher_reads_all_topics_again() {
    let mut harness = watcher();
    observe(&mut harness, SECOND);
    assert_eq!(harness.events, [StoreEvent::Restored(SECOND)]);
    assert!(!harness.client.watching());
    assert!(
        !Topic::ALL
            .into_iter()
            .any(|topic| harness.is_pending(is_watch(topic)))
    );
    harness.advance(Span::ZERO);
    for topic in Topic::ALL {
        assert!(harness.is_pending(is_list(topic)), "{topic:?}");
    }
    harness.complete(is_list(Topic::Workers), Ok(page(Vec::new(), 2)));
    harness.revs.raise(Topic::Workers, Rev::new(SECOND, 2));
    harness.advance(Span::ZERO);
    assert!(harness.is_pending(is_watch(Topic::Workers)));
}

#[test]
fn a_list_is_begun_again_until_it_is_of_the_new_era() {
    let mut harness = watcher();
    observe(&mut harness, SECOND);
    harness.advance(Span::ZERO);
    harness.complete(is_list(Topic::Workers), Ok(page(Vec::new(), 900)));
    harness.revs.raise(Topic::Workers, at_rev(900));
    harness.advance(Span::ZERO);
    assert!(harness.is_pending(is_list(Topic::Workers)));
}

#[test]
fn the_first_era_that_is_seen_is_no_restore() {
    let mut harness = Harness::watching();
    harness.events.clear();
    observe(&mut harness, Era(7));
    observe(&mut harness, Era(7));
    observe(&mut harness, Era(6));
    assert!(harness.events.is_empty());
    assert!(harness.is_pending(is_watch(Topic::Workers)));
}

#[test]
fn missing_workers_count_as_lapsed() {
    let mut harness = watcher();
    assert_eq!(harness.client.departure(harness.now), Departure::Left);
    observe(&mut harness, SECOND);
    assert_eq!(harness.client.departure(harness.now), Departure::Lapsed);
}

#[test]
fn a_daemon_writes_its_entry_again_with_one_call() {
    for reply in [StoreReply::Done, StoreReply::Conflict] {
        let mut harness = watcher();
        harness.set_role(Role::Follower);
        observe(&mut harness, SECOND);
        assert!(!harness.is_pending(is_create));
        harness.advance(Span::secs(3));
        harness.complete(is_create, Ok(reply));
        harness.advance(Span::secs(5));
        assert!(harness.calls.is_empty(), "{:?}", harness.calls);
        // The others know this daemon, so it goes on using its shares.
        assert_eq!(harness.events, [StoreEvent::Restored(SECOND)]);
    }
}

#[test]
fn a_failed_attempt_to_write_the_entry_again_is_repeated() {
    let mut harness = watcher();
    harness.set_role(Role::Follower);
    observe(&mut harness, SECOND);
    harness.advance(Span::secs(3));
    harness.complete(is_create, Err(StoreCallError::Timeout));
    harness.advance(Span::secs(10));
    assert!(harness.is_pending(is_create));
}

/// An entry that was in the copy may be one of an earlier process run.
#[test]
fn an_entry_that_was_in_the_copy_is_compared_soon() {
    let mut harness = watcher();
    harness.set_role(Role::Follower);
    observe(&mut harness, SECOND);
    harness.advance(Span::secs(3));
    harness.complete(is_create, Ok(StoreReply::Conflict));
    harness.advance(Span::secs(30));
    assert!(harness.is_pending(is_stale_list));
}
