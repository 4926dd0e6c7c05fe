//! The daemons' entries in the store.

use {
    crate::scene::{Scene, entry, is_create, is_member_list, is_old_list, page},
    platform::{Call, Object, Reply},
    site::Rev,
    store::{CallError, StoreEvent},
    unit::Span,
};

#[test]
fn registers_and_learns_of_the_others() {
    let mut scene = Scene::new();
    scene.pass(Span::ZERO);
    scene.answer(is_old_list, Ok(page(Vec::new(), 1)));
    scene.answer(is_create, Ok(Reply::Done));
    let found = [entry("front-a-1", 1), entry("front-b-1", 2)];
    let objects = found
        .iter()
        .map(|entry| Object::Member(Rev(2), entry.clone()));
    scene.answer(is_member_list, Ok(page(objects.collect(), 2)));
    let [StoreEvent::Registered(true), StoreEvent::Members(members)] = &scene.news[..] else {
        panic!("{:?}", scene.news);
    };
    assert_eq!(members.len(), 2);
    assert!(scene.calls.is_empty());
}

#[test]
fn a_restarted_daemon_writes_nothing_and_knows_that_the_others_know_it() {
    let mut scene = Scene::new();
    scene.pass(Span::ZERO);
    let own = Object::Member(Rev(2), entry("front-a-1", 1));
    scene.answer(is_old_list, Ok(page(vec![own], 2)));
    let [StoreEvent::Registered(false), StoreEvent::Members(_)] = &scene.news[..] else {
        panic!("{:?}", scene.news);
    };
    assert!(scene.calls.is_empty());
}

#[test]
fn a_restarted_daemon_that_an_old_list_lacks_finds_its_entry_as_it_writes_it() {
    let mut scene = Scene::new();
    scene.pass(Span::ZERO);
    scene.answer(is_old_list, Ok(page(Vec::new(), 1)));
    scene.answer(is_create, Ok(Reply::Conflict));
    assert_eq!(scene.news, [StoreEvent::Registered(false)]);
    let fresh = |call: &Call| matches!(call, Call::ListMembers { old: false, .. });
    assert!(scene.has(fresh));
}

#[test]
fn reads_the_entries_again_now_and_then_and_takes_away_those_that_it_is_told() {
    let mut scene = Scene::registered();
    scene.pass(Span::secs(200));
    assert!(!scene.has(is_member_list));
    scene.pass(Span::secs(800));
    assert!(scene.has(is_member_list));
    let actions = scene.client.remove_member("front-b-1".into(), Rev(4));
    scene.take(actions);
    let removed = |call: &Call| matches!(call, Call::RemoveMember(_, Rev(4)));
    scene.answer(removed, Ok(Reply::NotFound));
    assert!(!scene.client.failing(scene.now));
}

#[test]
fn a_lost_answer_to_the_registration_is_settled_by_the_next_try() {
    let mut scene = Scene::new();
    scene.pass(Span::ZERO);
    scene.answer(is_old_list, Ok(page(Vec::new(), 1)));
    scene.answer(is_create, Err(CallError::Timeout));
    scene.pass(Span::secs(1));
    scene.answer(is_old_list, Ok(page(Vec::new(), 1)));
    scene.answer(is_create, Ok(Reply::Conflict));
    assert!(scene.news.contains(&StoreEvent::Registered(true)));
    assert!(scene.has(is_member_list));
}

#[test]
fn a_daemon_whose_write_was_done_unanswered_is_new_all_the_same() {
    let mut scene = Scene::new();
    scene.pass(Span::ZERO);
    scene.answer(is_old_list, Ok(page(Vec::new(), 1)));
    scene.answer(is_create, Err(CallError::Timeout));
    scene.pass(Span::secs(1));
    let own = Object::Member(Rev(2), entry("front-a-1", 1));
    scene.answer(is_old_list, Ok(page(vec![own], 2)));
    assert!(scene.news.contains(&StoreEvent::Registered(true)));
}

#[test]
fn an_entry_of_another_address_under_the_own_name_is_replaced() {
    let mut scene = Scene::new();
    scene.pass(Span::ZERO);
    scene.answer(is_old_list, Ok(page(Vec::new(), 1)));
    scene.answer(is_create, Ok(Reply::Conflict));
    let old = Object::Member(Rev(2), entry("front-a-1", 9));
    scene.answer(is_member_list, Ok(page(vec![old], 2)));
    let replaced =
        |call: &Call| matches!(call, Call::ReplaceMember(own, Rev(2)) if own.ip.octets()[3] == 1);
    scene.answer(replaced, Ok(Reply::Done));
    assert!(scene.has(is_member_list));
}
