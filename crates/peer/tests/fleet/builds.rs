//! Tests of fleets with daemons of two builds: which messages they send each other, and whom those
//! of this build rely on.

use {
    crate::harness::{Fleet, ip, name},
    fastrand::Rng,
    peer::{Format, Roster, Watch},
    site::{Era, Rev},
    unit::{Set, Span},
};

/// The most extended heartbeats that a member gets which never understood one.
const MAX_OFFERS: usize = 3;

/// A fleet of which the daemons `old` read only legacy messages.
fn mixed(size: usize, old: impl Iterator<Item = usize>) -> Fleet {
    let mut fleet = Fleet::new(size);
    for index in old {
        fleet.nodes[index].legacy = true;
    }
    fleet
}

/// The members that a daemon takes for readers of extended messages, by index.
fn readers(fleet: &Fleet, index: usize) -> Set<usize> {
    let members = fleet.nodes[index].roster.members();
    (0..fleet.nodes.len())
        .filter(|other| {
            let member = members.get(&name(*other));
            member.is_some_and(|member| member.format == Format::Extended)
        })
        .collect()
}

fn restart(fleet: &mut Fleet, index: usize, legacy: bool, seed: u64) {
    let node = &mut fleet.nodes[index];
    node.legacy = legacy;
    node.refused = 0;
    node.roster = Roster::new(
        name(index),
        format!("centre-{}", index % 3).as_str().into(),
        ip(index),
        vec![ip(0)],
        fleet.now,
        Rng::with_seed(seed),
    );
}

/// Guards against daemons of this build that go on with legacy messages among themselves.
#[test]
fn daemons_of_this_build_learn_that_all_read_extended_messages() {
    let mut fleet = Fleet::new(9);
    fleet.run(150);
    for index in 0..9 {
        assert_eq!(readers(&fleet, index).len(), 8, "daemon {index}");
    }
}

/// Guards against a stream of datagrams that an old daemon refuses and logs.
#[test]
fn an_old_daemon_gets_at_most_three_datagrams_that_it_cannot_read_from_each_other() {
    let mut fleet = mixed(9, 0..4);
    fleet.run(600);
    for index in 0..4 {
        let refused = fleet.nodes[index].refused;
        assert_eq!(refused, MAX_OFFERS * 5, "daemon {index}");
        assert_eq!(fleet.alive_count(index), 8);
    }
    for index in 4..9 {
        assert_eq!(
            readers(&fleet, index),
            (4..9).filter(|i| *i != index).collect()
        );
        assert_eq!(fleet.alive_count(index), 8);
    }
}

/// Guards against two daemons of this build that never try again after their first offers were lost.
#[test]
fn lost_offers_are_made_up_for_by_the_other_daemon_or_a_later_round() {
    let mut fleet = Fleet::new(2);
    fleet.nodes[0].legacy = true;
    fleet.nodes[1].legacy = true;
    fleet.run(20);
    // Daemon 1 has its build's messages lost until here; its own offers come first.
    fleet.nodes[1].legacy = false;
    fleet.run(20);
    assert!(readers(&fleet, 1).is_empty());
    fleet.nodes[0].legacy = false;
    fleet.run(20);
    // Daemon 0 has made its offers before, when they were lost, and daemon 1 too.
    assert!(readers(&fleet, 0).is_empty() && readers(&fleet, 1).is_empty());
    fleet.run(3_050);
    assert_eq!((readers(&fleet, 0).len(), readers(&fleet, 1).len()), (1, 1));
}

/// Guards against extended messages to a daemon that was downgraded under its name.
#[test]
fn a_downgraded_daemon_gets_the_legacy_form_again_and_an_upgraded_one_the_extended() {
    let mut fleet = Fleet::new(6);
    fleet.run(100);
    assert!(readers(&fleet, 3).contains(&0));
    // Daemon 0 knows no other at its start, so it depends on messages that it can read.
    restart(&mut fleet, 0, true, 50);
    fleet.run(100);
    let refused = fleet.nodes[0].refused;
    fleet.run(200);
    assert_eq!(fleet.nodes[0].refused, refused);
    assert_eq!(fleet.alive_count(0), 5);
    for index in 1..6 {
        assert!(!readers(&fleet, index).contains(&0), "daemon {index}");
        assert_eq!(fleet.alive_count(index), 5);
    }
    restart(&mut fleet, 0, false, 51);
    fleet.run(200);
    for index in 1..6 {
        assert!(readers(&fleet, index).contains(&0), "daemon {index}");
    }
}

/// Guards against daemons of a large fleet that talk so seldom that the second message between two
/// of them, the first in the extended form, comes minutes later.
#[test]
fn two_daemons_know_after_one_exchange_that_both_read_extended_messages() {
    let mut fleet = Fleet::new(2);
    // Long after their start, daemons of different data centres don't send each other contacts.
    fleet.split(&[0]);
    fleet.run(40);
    fleet.cut_links.clear();
    // Daemon 0 sends nothing by itself, as it knows no other yet.
    fleet.run(1);
    assert_eq!((readers(&fleet, 0).len(), readers(&fleet, 1).len()), (1, 1));
}

/// Guards against a daemon that waits for site changes from daemons whose changes it can't read.
#[test]
fn the_only_daemon_of_this_build_watches_the_store_and_relies_on_no_other() {
    // So many that also in a data centre with a stale view only a part of the daemons watch.
    const SIZE: usize = 90;
    for only in 0..12 {
        let others: Vec<usize> = (0..SIZE).filter(|index| *index != only).collect();
        let mut fleet = mixed(SIZE, others.iter().copied());
        fleet.run(40);
        for index in &others {
            fleet.nodes[*index].own.watch = Watch::Live;
        }
        fleet.run(20);
        let node = &fleet.nodes[only];
        assert_eq!(node.own.watch, Watch::Live, "daemon {only}");
        assert!(node.roster.is_lead_centre(fleet.now));
        // The others watch, and this daemon can't.
        fleet.nodes[only].own.watch = Watch::Failing;
        fleet.run(10);
        assert!(fleet.staleness(only) >= Span::secs(10));
        for index in &others {
            fleet.nodes[*index].own.revs.workers = Rev::new(Era::default(), 7);
        }
        fleet.run(10);
        assert!(fleet.nodes[only].fetched.is_empty());
    }
}

/// Guards against a start after which more daemons than needed watch the store, since they don't
/// know yet that the others read extended messages.
#[test]
fn few_daemons_watch_soon_after_the_start_of_a_large_fleet() {
    let mut fleet = Fleet::new(240);
    fleet.run(4);
    for _ in 0..40 {
        fleet.run(1);
        assert_eq!(fleet.watchers().len(), 3);
    }
}
