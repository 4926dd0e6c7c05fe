//! Who is seen alive, who watches, and how old what is known may be.

use {
    crate::harness::{Fleet, Node, ip, name},
    fastrand::Rng,
    peer::{Roster, RosterAction, Watch},
    site::Rev,
    unit::{Name, Set, Span},
};

#[test]
fn all_find_each_other_through_one_and_three_in_as_many_data_centres_watch() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    for at in 0..13 {
        assert_eq!(fleet.sees(at), 12);
        assert!(fleet.age(at) < Span::millis(500));
    }
    let centres: Set<usize> = fleet.watchers().iter().map(|at| at % 3).collect();
    assert_eq!((fleet.watchers().len(), centres.len()), (3, 3));
}

#[test]
fn a_large_fleet_sees_all_its_daemons_and_misses_those_that_die() {
    let mut fleet = Fleet::new(126);
    fleet.run(30);
    for at in 0..126 {
        assert_eq!(fleet.sees(at), 125);
        assert!(fleet.age(at) < Span::secs(1));
    }
    for at in 20..60 {
        fleet.nodes[at].alive = false;
    }
    fleet.run(30);
    for at in (0..20).chain(60..126) {
        assert_eq!(fleet.sees(at), 85);
    }
}

#[test]
fn a_watcher_that_dies_or_that_the_store_fails_is_replaced() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    let watchers = fleet.watchers();
    fleet.nodes[watchers[0]].alive = false;
    fleet.nodes[watchers[1]].own.watch = Watch::Failing;
    fleet.run(10);
    let new = fleet.watchers();
    assert_eq!(new.len(), 4);
    assert!(!new.contains(&watchers[0]) && !new.contains(&watchers[1]));
}

#[test]
fn a_daemon_that_hears_nobody_watches_for_itself() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    let alone = (0..13)
        .find(|at| !fleet.watchers().contains(at))
        .expect("a reader");
    fleet.split(&[alone]);
    fleet.run(8);
    assert!(fleet.watchers().contains(&alone));
    fleet.cut.clear();
    fleet.run(12);
    assert_eq!(fleet.watchers().len(), 3);
}

#[test]
fn what_is_known_grows_old_where_no_watcher_is_heard() {
    let mut fleet = Fleet::new(6);
    fleet.run(10);
    for node in &mut fleet.nodes {
        node.own.watch = Watch::Failing;
    }
    fleet.run(20);
    for at in 0..6 {
        assert!(fleet.age(at) >= Span::secs(3));
    }
}

#[test]
fn in_an_outage_only_the_first_go_on_trying() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    for node in &mut fleet.nodes {
        node.own.watch = Watch::Failing;
    }
    fleet.run(10);
    let trying = fleet
        .nodes
        .iter()
        .filter(|node| node.roster.must_watch(fleet.now, &node.own));
    assert_eq!(trying.count(), 3);
}

#[test]
fn a_daemon_that_stood_still_does_not_take_the_others_for_dead() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    let frozen = &mut fleet.nodes[5];
    let woken = fleet.now + Span::secs(4);
    let actions = frozen.roster.tick(woken, &frozen.own);
    assert!(!actions.is_empty());
    assert_eq!(frozen.roster.count_alive(woken), 12);
}

#[test]
fn a_daemon_that_stood_still_tells_of_no_other_before_it_hears_of_it_again() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    let frozen = &mut fleet.nodes[5];
    let woken = fleet.now + Span::secs(4);
    for action in frozen.roster.tick(woken, &frozen.own) {
        let RosterAction::Send(_, beat) = action else {
            continue;
        };
        assert_eq!(beat.gossip, Vec::new());
    }
}

#[test]
fn a_daemon_that_knows_less_fetches_from_one_that_knows_more() {
    let mut fleet = Fleet::new(3);
    fleet.nodes[1].own.revs.workers = Rev(7);
    fleet.run(20);
    assert!(fleet.nodes[0].fetched.contains(&ip(1)));
    assert!(fleet.nodes[1].fetched.is_empty());
    // What a daemon that is ahead says of its age is no help to one that is behind.
    assert!(fleet.nodes[2].fetched.contains(&ip(1)));
}

#[test]
fn a_restarted_daemon_is_heard_though_its_count_begins_anew() {
    let mut fleet = Fleet::new(3);
    fleet.run(30);
    fleet.nodes[2].alive = false;
    fleet.run(25);
    assert_eq!(fleet.sees(0), 1);
    fleet.nodes[2].roster = Roster::new(
        name(2),
        "centre-2".into(),
        ip(2),
        vec![ip(0)],
        fleet.now,
        Rng::with_seed(99),
    );
    fleet.nodes[2].alive = true;
    fleet.run(15);
    assert_eq!(fleet.sees(0), 2);
}

#[test]
fn heartbeats_that_are_lost_now_and_then_hurt_nobody() {
    let mut fleet = Fleet::new(13);
    fleet.loss = 0.2;
    fleet.run(200);
    for at in 0..13 {
        assert_eq!(fleet.sees(at), 12);
    }
    assert_eq!(fleet.watchers().len(), 3);
}

#[test]
fn a_watcher_that_the_store_fails_is_replaced_by_two_daemons_and_for_good() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    let first = fleet.watchers()[0];
    fleet.nodes[first].own.watch = Watch::Failing;
    fleet.run(3);
    let replaced = fleet.watchers();
    assert_eq!(replaced.len(), 4);
    for _ in 0..20 {
        fleet.run(1);
        assert_eq!(fleet.watchers(), replaced);
    }
}

#[test]
fn right_after_a_start_only_the_first_of_each_data_centre_turns_to_the_store() {
    let mut fleet = Fleet::new(13);
    for at in 0..13 {
        for other in 0..13 {
            let centre = format!("centre-{}", other % 3).as_str().into();
            let now = fleet.now;
            fleet.nodes[at]
                .roster
                .add_member(now, name(other), centre, ip(other));
        }
    }
    let wants = |fleet: &Fleet| {
        let node = |node: &&Node| node.roster.must_watch(fleet.now, &node.own);
        fleet.nodes.iter().filter(node).count()
    };
    assert_eq!(wants(&fleet), 0);
    let names: Set<Name> = (0..13).map(name).collect();
    for node in &mut fleet.nodes {
        node.roster.retain_registered(fleet.now, &names);
    }
    assert_eq!(wants(&fleet), 3);
}

#[test]
fn a_daemon_that_is_silent_for_long_is_retired_by_one_that_hears_most() {
    let mut fleet = Fleet::new(6);
    fleet.run(10);
    fleet.nodes[5].alive = false;
    fleet.run(20);
    let retiring = |fleet: &Fleet| {
        let nodes = fleet.nodes.iter().filter(|node| node.alive);
        nodes
            .map(|node| node.roster.expired_members(fleet.now))
            .filter(|names| !names.is_empty())
            .count()
    };
    assert_eq!(retiring(&fleet), 0);
    fleet.run(3_100);
    assert_eq!(retiring(&fleet), 3, "one a data centre");
    let alone = &fleet.nodes[5].roster;
    let later = fleet.now + Span::secs(700);
    assert!(alone.expired_members(later).is_empty());
    assert!(alone.is_isolated(later));
    assert!(!fleet.nodes[0].roster.is_isolated(fleet.now));
}
