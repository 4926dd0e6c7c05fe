//! What is read and watched of the site, and a store that fails.

use {
    crate::scene::{Scene, evacuated, is_list, is_watch, page},
    platform::{Call, Object, Reply},
    site::{Departure, Item, Rev, Topic},
    store::{CallError, Role, StoreEvent},
    unit::Span,
};

#[test]
fn reads_what_it_does_not_know_before_it_watches() {
    let mut scene = Scene::registered();
    scene.turn(Role::Watcher);
    assert!(!scene.client.watching());
    scene.pass(Span::ZERO);
    assert!(!scene.client.watching());
    scene.answer(is_list(Topic::Evacuations), Ok(page(vec![evacuated(3)], 4)));
    let Some(StoreEvent::Change(change)) = scene.news.pop() else {
        panic!("no change");
    };
    assert_eq!(
        (change.full, change.rev, change.items.len()),
        (true, Rev(4), 1)
    );
    scene.revs.raise(Topic::Evacuations, Rev(4));
    scene.pass(Span::ZERO);
    assert!(scene.has(|call| matches!(call, Call::Watch { from: Rev(4), .. })));
}

#[test]
fn goes_on_with_a_list_where_it_is_cut_and_keeps_the_first_revision() {
    let mut scene = Scene::registered();
    scene.turn(Role::Watcher);
    scene.pass(Span::ZERO);
    let first = Reply::Page {
        next: Some("a".into()),
        objects: vec![evacuated(3)],
        rev: Rev(4),
    };
    scene.answer(is_list(Topic::Evacuations), Ok(first));
    let second =
        |call: &Call| matches!(call, Call::List { after: Some(name), .. } if &**name == "a");
    scene.answer(second, Ok(page(vec![evacuated(6)], 6)));
    let Some(StoreEvent::Change(change)) = scene.news.pop() else {
        panic!("no change");
    };
    assert_eq!((change.rev, change.items.len()), (Rev(4), 2));
}

#[test]
fn gathers_changes_for_a_moment_between_two_watches() {
    let mut scene = Scene::watching();
    scene.answer(
        is_watch(Topic::Workers),
        Ok(Reply::Events(Vec::new(), Rev(7))),
    );
    scene.revs.raise(Topic::Workers, Rev(7));
    scene.pass(Span::millis(200));
    assert!(!scene.has(is_watch(Topic::Workers)));
    assert!(scene.client.watching());
    // A quarter of the shortest time that users give from the acknowledgement of a change.
    scene.pass(Span::millis(300));
    assert!(scene.has(|call| matches!(call, Call::Watch { from: Rev(7), .. })));
}

#[test]
fn reads_everything_anew_where_the_history_is_gone() {
    let mut scene = Scene::watching();
    scene.answer(is_watch(Topic::Workers), Ok(Reply::Compacted));
    scene.answer(is_list(Topic::Workers), Ok(page(Vec::new(), 9)));
    let Some(StoreEvent::Change(change)) = scene.news.pop() else {
        panic!("no change");
    };
    assert_eq!((change.full, change.absent), (true, Departure::Left));
}

#[test]
fn a_departure_is_a_lapse_only_around_trouble() {
    let mut scene = Scene::watching();
    assert_eq!(scene.client.departure(scene.now), Departure::Left);
    scene.answer(is_watch(Topic::Config), Err(CallError::Timeout));
    assert_eq!(scene.client.departure(scene.now), Departure::Lapsed);
    assert_eq!(
        scene.client.departure(scene.now + Span::secs(10)),
        Departure::Left
    );
}

#[test]
fn backs_off_while_the_store_fails_and_tells_once_each_way() {
    let mut scene = Scene::watching();
    let mut calls = 0;
    for topic in Topic::ALL {
        scene.answer(is_watch(topic), Err(CallError::Connection));
    }
    assert!(scene.client.failing(scene.now) && !scene.client.watching());
    for _ in 0..100 {
        scene.pass(Span::millis(100));
        while let Some((_, call)) = scene.calls.first().cloned() {
            calls += 1;
            let refused = if calls % 2 == 0 {
                Ok(Reply::Refused(503))
            } else {
                Err(CallError::Timeout)
            };
            scene.answer(|other| *other == call, refused);
        }
    }
    assert!((10..=45).contains(&calls), "{calls}");
    scene.pass(Span::secs(3));
    scene.answer(
        is_watch(Topic::Workers),
        Ok(Reply::Events(Vec::new(), Rev(6))),
    );
    assert_eq!(
        scene
            .news
            .iter()
            .filter(|news| matches!(news, StoreEvent::Unavailable(_)))
            .count(),
        1
    );
    assert_eq!(
        scene
            .news
            .iter()
            .filter(|news| **news == StoreEvent::Recovered)
            .count(),
        1
    );
}

#[test]
fn a_failure_long_ago_does_not_count_against_a_daemon_that_takes_on_the_watch() {
    let mut scene = Scene::watching();
    scene.answer(is_watch(Topic::Config), Err(CallError::Timeout));
    scene.turn(Role::Follower);
    assert!(scene.client.failing(scene.now));
    scene.pass(Span::secs(10));
    assert!(!scene.client.failing(scene.now));
    scene.turn(Role::Watcher);
    assert!(!scene.client.failing(scene.now));
}

#[test]
fn a_watch_without_events_changes_nothing_and_goes_on_from_where_it_ended() {
    let mut scene = Scene::watching();
    scene.answer(
        is_watch(Topic::Workers),
        Ok(Reply::Events(Vec::new(), Rev(9))),
    );
    assert!(scene.news.is_empty());
    scene.pass(Span::secs(1));
    assert!(scene.has(|call| matches!(call, Call::Watch { from: Rev(9), .. })));
}

#[test]
fn a_store_that_stops_answering_is_noticed_though_watches_may_wait() {
    let mut scene = Scene::watching();
    scene.pass(Span::millis(700));
    scene.answer(|call| *call == Call::Probe, Ok(Reply::Done));
    assert!(scene.client.watching());
    scene.pass(Span::millis(700));
    scene.answer(|call| *call == Call::Probe, Err(CallError::Timeout));
    assert!(scene.client.failing(scene.now));
    assert!(!Topic::ALL.iter().any(|topic| scene.has(is_watch(*topic))));
    scene.turn(Role::Follower);
    scene.pass(Span::secs(5));
    assert!(!scene.has(|call| *call == Call::Probe));
}

#[test]
fn an_unreadable_worker_names_none_any_more() {
    let mut scene = Scene::watching();
    let bad = Object::Unreadable {
        name: "i-1".into(),
        reason: platform::DecodeError::Status(0),
        rev: Rev(6),
    };
    scene.answer(
        is_watch(Topic::Workers),
        Ok(Reply::Events(vec![bad], Rev(6))),
    );
    let change = scene.news.iter().find_map(|news| match news {
        StoreEvent::Change(change) => Some(change),
        _ => None,
    });
    let item = &change.expect("a change").items[0];
    assert!(matches!(&item.value, Item::WorkerGone(id, _) if &**id == "i-1"));
}

#[test]
fn gives_up_its_watches_with_the_role() {
    let mut scene = Scene::watching();
    scene.turn(Role::Follower);
    assert!(scene.calls.is_empty());
    scene.pass(Span::secs(60));
    assert!(scene.calls.is_empty());
}

#[test]
fn a_watch_that_others_are_ahead_of_is_begun_anew() {
    let mut scene = Scene::watching();
    scene.client.peer_ahead(Topic::Workers, scene.now);
    scene.pass(Span::millis(500));
    assert!(scene.has(is_watch(Topic::Workers)));
    scene.pass(Span::millis(500));
    assert!(!scene.has(is_watch(Topic::Workers)));
    scene.pass(Span::secs(1));
    assert!(scene.has(is_watch(Topic::Workers)));
}
