//! Tests of the registration and of the list of daemons' entries.

use {
    crate::harness::{Harness, at_rev, entry, is_create, is_member_list, is_stale_list, page},
    platform::{Object, StoreCall, StoreReply},
    site::Rev,
    store::{StoreCallError, StoreEvent},
    unit::Span,
};

#[test]
fn registers_and_reports_all_members() {
    let mut harness = Harness::new();
    harness.advance(Span::ZERO);
    harness.complete(is_stale_list, Ok(page(Vec::new(), 1)));
    harness.complete(is_create, Ok(StoreReply::Done));
    let entries = [entry("front-a-1", 1), entry("front-b-1", 2)];
    let objects = entries
        .iter()
        .map(|entry| Object::Member(at_rev(2), entry.clone()));
    harness.complete(is_member_list, Ok(page(objects.collect(), 2)));
    let [StoreEvent::Registered(true), StoreEvent::Members(members)] = &harness.events[..] else {
        panic!("{:?}", harness.events);
    };
    assert_eq!(members.len(), 2);
    assert!(harness.calls.is_empty());
}

#[test]
fn restarted_daemon_finds_its_entry_and_registers_as_known() {
    let mut harness = Harness::new();
    harness.advance(Span::ZERO);
    let own = Object::Member(at_rev(2), entry("front-a-1", 1));
    harness.complete(is_stale_list, Ok(page(vec![own], 2)));
    let [StoreEvent::Registered(false), StoreEvent::Members(_)] = &harness.events[..] else {
        panic!("{:?}", harness.events);
    };
    assert!(harness.calls.is_empty());
}

#[test]
fn restarted_daemon_missing_from_stale_list_registers_as_known_on_conflict() {
    let mut harness = Harness::new();
    harness.advance(Span::ZERO);
    harness.complete(is_stale_list, Ok(page(Vec::new(), 1)));
    harness.complete(is_create, Ok(StoreReply::Conflict));
    let is_fresh_list = |call: &StoreCall| {
        matches!(
            call,
            StoreCall::ListMembers {
                stale_ok: false,
                ..
            }
        )
    };
    // A daemon that is registered uses its shares of the fleet's limits, so it must know the others.
    assert_eq!(harness.events, []);
    let own = Object::Member(at_rev(2), entry("front-a-1", 1));
    harness.complete(is_fresh_list, Ok(page(vec![own], 2)));
    let [StoreEvent::Registered(false), StoreEvent::Members(_)] = &harness.events[..] else {
        panic!("{:?}", harness.events);
    };
}

/// Guards against a daemon that divides the fleet's limits among the few daemons it knows when the
/// store fails right after its entry was created.
#[test]
fn a_daemon_that_cannot_list_the_others_is_not_registered() {
    let mut harness = Harness::new();
    harness.advance(Span::ZERO);
    harness.complete(is_stale_list, Ok(page(Vec::new(), 1)));
    harness.complete(is_create, Ok(StoreReply::Done));
    harness.complete(is_member_list, Err(StoreCallError::Timeout));
    assert!(!harness.events.contains(&StoreEvent::Registered(true)));
    harness.advance(Span::secs(1));
    let own = Object::Member(at_rev(2), entry("front-a-1", 1));
    harness.complete(is_stale_list, Ok(page(vec![own], 2)));
    assert!(harness.events.contains(&StoreEvent::Registered(true)));
}

/// Guards against a daemon that heard no other for long and then never used its shares of the fleet's
/// limits again: they begin with the report that it is registered.
#[test]
fn a_daemon_that_confirms_its_registration_reports_it_again_as_new() {
    let mut harness = Harness::registered();
    let actions = harness.client.confirm_registration(harness.now);
    harness.apply(actions);
    harness.advance(Span::ZERO);
    harness.complete(is_stale_list, Ok(page(Vec::new(), 3)));
    harness.complete(is_create, Ok(StoreReply::Done));
    let own = Object::Member(at_rev(4), entry("front-a-1", 1));
    harness.complete(is_member_list, Ok(page(vec![own], 4)));
    assert!(harness.events.contains(&StoreEvent::Registered(true)));
}

#[test]
fn refreshes_the_member_list_and_removes_members_on_request() {
    let mut harness = Harness::registered();
    harness.advance(Span::secs(200));
    assert!(!harness.is_pending(is_member_list));
    harness.advance(Span::secs(800));
    assert!(harness.is_pending(is_member_list));
    let actions = harness.client.remove_member("front-b-1".into(), at_rev(4));
    harness.apply(actions);
    let is_removal =
        |call: &StoreCall| matches!(call, StoreCall::RemoveMember(_, Rev { number: 4, .. }));
    harness.complete(is_removal, Ok(StoreReply::NotFound));
    assert!(!harness.client.failing(harness.now));
}

#[test]
fn conflict_after_a_timed_out_create_registers_as_new() {
    let mut harness = Harness::new();
    harness.advance(Span::ZERO);
    harness.complete(is_stale_list, Ok(page(Vec::new(), 1)));
    harness.complete(is_create, Err(StoreCallError::Timeout));
    harness.advance(Span::secs(1));
    harness.complete(is_stale_list, Ok(page(Vec::new(), 1)));
    harness.complete(is_create, Ok(StoreReply::Conflict));
    let own = Object::Member(at_rev(2), entry("front-a-1", 1));
    harness.complete(is_member_list, Ok(page(vec![own], 2)));
    assert!(harness.events.contains(&StoreEvent::Registered(true)));
}

#[test]
fn entry_found_after_a_timed_out_create_registers_as_new() {
    let mut harness = Harness::new();
    harness.advance(Span::ZERO);
    harness.complete(is_stale_list, Ok(page(Vec::new(), 1)));
    harness.complete(is_create, Err(StoreCallError::Timeout));
    harness.advance(Span::secs(1));
    let own = Object::Member(at_rev(2), entry("front-a-1", 1));
    harness.complete(is_stale_list, Ok(page(vec![own], 2)));
    assert!(harness.events.contains(&StoreEvent::Registered(true)));
}

#[test]
fn entry_with_own_name_and_another_address_is_replaced() {
    let mut harness = Harness::new();
    harness.advance(Span::ZERO);
    harness.complete(is_stale_list, Ok(page(Vec::new(), 1)));
    harness.complete(is_create, Ok(StoreReply::Conflict));
    let outdated = Object::Member(at_rev(2), entry("front-a-1", 9));
    harness.complete(is_member_list, Ok(page(vec![outdated], 2)));
    let is_replacement = |call: &StoreCall| matches!(call, StoreCall::ReplaceMember(own, Rev { number: 2, .. }) if own.ip.octets()[3] == 1);
    harness.complete(is_replacement, Ok(StoreReply::Done));
    assert!(harness.is_pending(is_member_list));
}

/// Guards against a daemon whose entry was removed and that goes on using its shares as before.
#[test]
fn a_daemon_whose_entry_was_removed_registers_as_new() {
    let mut harness = Harness::registered();
    harness.advance(Span::secs(1_000));
    harness.complete(is_stale_list, Ok(page(Vec::new(), 5)));
    harness.complete(is_create, Ok(StoreReply::Done));
    let own = Object::Member(at_rev(6), entry("front-a-1", 1));
    harness.complete(is_member_list, Ok(page(vec![own], 6)));
    assert!(harness.events.contains(&StoreEvent::Registered(true)));
}
