//! Tests of listing and watching topics, and of a store that fails.

use {
    crate::harness::{Harness, at_rev, evacuated, is_list, is_probe, is_watch, no_change, page},
    platform::{Object, StoreCall, StoreReply},
    site::{Departure, ObjectState, Rev, Topic},
    store::{Role, StoreCallError, StoreEvent},
    unit::Span,
};

#[test]
fn lists_an_unknown_topic_before_watching_it() {
    let mut harness = Harness::registered();
    harness.set_role(Role::Watcher);
    assert!(!harness.client.watching());
    harness.advance(Span::ZERO);
    assert!(!harness.client.watching());
    harness.complete(is_list(Topic::Evacuations), Ok(page(vec![evacuated(3)], 4)));
    let Some(StoreEvent::Change(change)) = harness.events.pop() else {
        panic!("no change");
    };
    assert_eq!(
        (change.full, change.rev, change.items.len()),
        (true, at_rev(4), 1)
    );
    harness.revs.raise(Topic::Evacuations, at_rev(4));
    harness.advance(Span::ZERO);
    assert!(harness.is_pending(|call| matches!(
        call,
        StoreCall::Watch {
            from: Rev { number: 4, .. },
            ..
        }
    )));
}

#[test]
fn continues_a_list_after_each_page_and_keeps_the_first_revision() {
    let mut harness = Harness::registered();
    harness.set_role(Role::Watcher);
    harness.advance(Span::ZERO);
    let first_page = StoreReply::Page {
        next: Some("a".into()),
        objects: vec![evacuated(3)],
        rev: at_rev(4),
    };
    harness.complete(is_list(Topic::Evacuations), Ok(first_page));
    let is_second_list = |call: &StoreCall| matches!(call, StoreCall::List { after: Some(name), .. } if &**name == "a");
    harness.complete(is_second_list, Ok(page(vec![evacuated(6)], 6)));
    let Some(StoreEvent::Change(change)) = harness.events.pop() else {
        panic!("no change");
    };
    assert_eq!((change.rev, change.items.len()), (at_rev(4), 2));
}

#[test]
fn pauses_between_two_watches() {
    let mut harness = Harness::watching();
    harness.complete(
        is_watch(Topic::Workers),
        Ok(StoreReply::Events(Vec::new(), at_rev(7))),
    );
    harness.revs.raise(Topic::Workers, at_rev(7));
    harness.advance(Span::millis(200));
    assert!(!harness.is_pending(is_watch(Topic::Workers)));
    assert!(harness.client.watching());
    // Users allow a change some time to take effect after it is acknowledged. The pause may take
    // at most a quarter of the shortest such time.
    harness.advance(Span::millis(300));
    assert!(harness.is_pending(|call| matches!(
        call,
        StoreCall::Watch {
            from: Rev { number: 7, .. },
            ..
        }
    )));
}

/// Its peers tell it of most changes meanwhile, and the next watch begins after those.
#[test]
fn a_relaxed_watcher_pauses_longer_between_two_watches() {
    let mut harness = Harness::watching();
    harness.client.set_relaxed(true);
    harness.complete(
        is_watch(Topic::Workers),
        Ok(StoreReply::Events(Vec::new(), at_rev(7))),
    );
    harness.advance(Span::millis(850));
    assert!(!harness.is_pending(is_watch(Topic::Workers)));
    assert!(harness.client.watching());
    harness.revs.raise(Topic::Workers, at_rev(12));
    // It is still less than half of the shortest time that a change may take to take effect.
    harness.advance(Span::millis(100));
    assert!(harness.is_pending(|call| matches!(
        call,
        StoreCall::Watch {
            from: Rev { number: 12, .. },
            ..
        }
    )));
}

#[test]
fn lists_the_topic_again_after_its_history_is_compacted() {
    let mut harness = Harness::watching();
    harness.complete(is_watch(Topic::Workers), Ok(StoreReply::Compacted));
    harness.complete(is_list(Topic::Workers), Ok(page(Vec::new(), 9)));
    let Some(StoreEvent::Change(change)) = harness.events.pop() else {
        panic!("no change");
    };
    assert_eq!(
        (change.full, change.absent_departure),
        (true, Departure::Left)
    );
}

#[test]
fn departure_is_a_lapse_only_shortly_after_a_failure() {
    let mut harness = Harness::watching();
    assert_eq!(harness.client.departure(harness.now), Departure::Left);
    harness.complete(is_watch(Topic::Config), Err(StoreCallError::Connection));
    assert_eq!(harness.client.departure(harness.now), Departure::Lapsed);
    assert_eq!(
        harness.client.departure(harness.now + Span::secs(10)),
        Departure::Left
    );
}

#[test]
fn backs_off_during_an_outage_and_reports_loss_and_recovery_once() {
    let mut harness = Harness::watching();
    let mut calls = 0;
    for topic in Topic::ALL {
        harness.complete(is_watch(topic), Err(StoreCallError::Connection));
    }
    assert!(harness.client.failing(harness.now) && !harness.client.watching());
    for _ in 0..100 {
        harness.advance(Span::millis(100));
        while let Some((_, call)) = harness.calls.first().cloned() {
            calls += 1;
            let result = if calls % 2 == 0 {
                Ok(StoreReply::Refused(503))
            } else {
                Err(StoreCallError::Timeout)
            };
            harness.complete(|other| *other == call, result);
        }
    }
    assert!((10..=45).contains(&calls), "{calls}");
    // The first call that succeeds is a probe; the watches follow it.
    harness.advance(Span::secs(3));
    assert!(!harness.is_pending(is_watch(Topic::Workers)));
    harness.complete(is_probe, Ok(no_change()));
    harness.advance(Span::ZERO);
    harness.complete(
        is_watch(Topic::Workers),
        Ok(StoreReply::Events(Vec::new(), at_rev(6))),
    );
    assert_eq!(
        harness
            .events
            .iter()
            .filter(|event| matches!(event, StoreEvent::Unavailable(_)))
            .count(),
        1
    );
    assert_eq!(
        harness
            .events
            .iter()
            .filter(|event| **event == StoreEvent::Recovered)
            .count(),
        1
    );
}

#[test]
fn new_watcher_ignores_an_old_failure() {
    let mut harness = Harness::watching();
    harness.complete(is_watch(Topic::Config), Err(StoreCallError::Connection));
    harness.set_role(Role::Follower);
    assert!(harness.client.failing(harness.now));
    harness.advance(Span::secs(10));
    assert!(!harness.client.failing(harness.now));
    harness.set_role(Role::Watcher);
    assert!(!harness.client.failing(harness.now));
}

#[test]
fn watch_without_events_reports_nothing_and_resumes_from_its_last_revision() {
    let mut harness = Harness::watching();
    harness.complete(
        is_watch(Topic::Workers),
        Ok(StoreReply::Events(Vec::new(), at_rev(9))),
    );
    assert!(harness.events.is_empty());
    harness.advance(Span::secs(1));
    assert!(harness.is_pending(|call| matches!(
        call,
        StoreCall::Watch {
            from: Rev { number: 9, .. },
            ..
        }
    )));
}

#[test]
fn failed_probe_reveals_an_outage_while_watches_are_pending() {
    let mut harness = Harness::watching();
    harness.advance(Span::millis(700));
    harness.complete(is_probe, Ok(no_change()));
    assert!(harness.client.watching());
    harness.advance(Span::millis(700));
    harness.complete(is_probe, Err(StoreCallError::Timeout));
    assert!(harness.client.failing(harness.now));
    assert!(
        !Topic::ALL
            .iter()
            .any(|topic| harness.is_pending(is_watch(*topic)))
    );
    harness.set_role(Role::Follower);
    harness.advance(Span::secs(5));
    assert!(!harness.is_pending(is_probe));
}

#[test]
fn unreadable_worker_entry_counts_as_removed() {
    let mut harness = Harness::watching();
    let unreadable = Object::Unreadable {
        name: "i-1".into(),
        reason: platform::DecodeError::Status(0),
        rev: at_rev(6),
    };
    harness.complete(
        is_watch(Topic::Workers),
        Ok(StoreReply::Events(vec![unreadable], at_rev(6))),
    );
    let change = harness.events.iter().find_map(|event| match event {
        StoreEvent::Change(change) => Some(change),
        _ => None,
    });
    let item = &change.expect("a change").items[0];
    assert!(matches!(&item.value, ObjectState::WorkerRemoved(id, _) if &**id == "i-1"));
}

#[test]
fn new_follower_cancels_its_watches() {
    let mut harness = Harness::watching();
    harness.set_role(Role::Follower);
    assert!(harness.calls.is_empty());
    harness.advance(Span::secs(60));
    assert!(harness.calls.is_empty());
}

/// What was said of an earlier watch must not cancel a new one.
#[test]
fn a_new_watch_is_not_taken_for_one_that_lagged() {
    let again = |harness: &mut Harness| {
        harness.set_role(Role::Follower);
        harness.set_role(Role::Watcher);
    };
    let failed = |harness: &mut Harness| {
        harness.complete(is_watch(Topic::Workers), Err(StoreCallError::Connection));
    };
    let ends: [&dyn Fn(&mut Harness); 2] = [&again, &failed];
    for end in ends {
        let mut harness = Harness::watching();
        harness.client.peer_ahead(Topic::Workers, harness.now);
        end(&mut harness);
        harness.advance(Span::secs(2));
        harness.complete(is_probe, Ok(no_change()));
        harness.advance(Span::ZERO);
        assert!(harness.is_pending(is_watch(Topic::Workers)));
        harness.advance(Span::millis(1));
        assert!(harness.is_pending(is_watch(Topic::Workers)));
    }
}

#[test]
fn a_watch_that_lags_is_looked_at_in_time() {
    let mut harness = Harness::watching();
    // Once the probe of the store is pending, the watch alone sets the time.
    harness.advance(Span::millis(700));
    let next = harness.client.next_tick().expect("a tick");
    assert!(next > harness.now + Span::secs(60));
    harness.client.peer_ahead(Topic::Workers, harness.now);
    let next = harness.client.next_tick().expect("a tick");
    assert_eq!(next, harness.now + Span::millis(800));
}

#[test]
fn watch_that_lags_behind_peers_is_restarted() {
    let mut harness = Harness::watching();
    harness.client.peer_ahead(Topic::Workers, harness.now);
    harness.advance(Span::millis(500));
    assert!(harness.is_pending(is_watch(Topic::Workers)));
    harness.advance(Span::millis(500));
    assert!(!harness.is_pending(is_watch(Topic::Workers)));
    harness.advance(Span::millis(250));
    harness.complete(is_probe, Ok(no_change()));
    harness.advance(Span::ZERO);
    assert!(harness.is_pending(is_watch(Topic::Workers)));
}
