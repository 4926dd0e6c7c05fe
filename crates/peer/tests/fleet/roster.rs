//! Tests of liveness, the choice of watchers and the staleness of a daemon's view of the site.

use {
    crate::harness::{Fleet, Node, ip, name},
    fastrand::Rng,
    peer::{Roster, RosterAction, Watch},
    site::{Era, Rev},
    unit::{Name, Set, Span},
};

#[test]
fn daemons_find_each_other_through_one_seed_and_one_per_data_centre_watches() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    for index in 0..13 {
        assert_eq!(fleet.alive_count(index), 12);
        assert!(fleet.staleness(index) < Span::millis(500));
    }
    let centres: Set<usize> = fleet.watchers().iter().map(|index| index % 3).collect();
    assert_eq!((fleet.watchers().len(), centres.len()), (3, 3));
}

#[test]
fn a_large_fleet_finds_all_daemons_and_notices_those_that_die() {
    let mut fleet = Fleet::new(126);
    fleet.run(30);
    for index in 0..126 {
        assert_eq!(fleet.alive_count(index), 125);
        assert!(fleet.staleness(index) < Span::secs(1));
    }
    for index in 20..60 {
        fleet.nodes[index].alive = false;
    }
    fleet.run(30);
    for index in (0..20).chain(60..126) {
        assert_eq!(fleet.alive_count(index), 85);
    }
}

#[test]
fn a_watcher_that_dies_or_whose_store_calls_fail_is_replaced() {
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
fn a_daemon_that_receives_no_heartbeats_watches_the_store_itself() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    let alone = (0..13)
        .find(|index| !fleet.watchers().contains(index))
        .expect("a daemon that doesn't watch");
    fleet.split(&[alone]);
    fleet.run(8);
    assert!(fleet.watchers().contains(&alone));
    fleet.cut_links.clear();
    fleet.run(12);
    assert_eq!(fleet.watchers().len(), 3);
}

#[test]
fn staleness_grows_while_no_daemon_can_watch() {
    let mut fleet = Fleet::new(6);
    fleet.run(10);
    for node in &mut fleet.nodes {
        node.own.watch = Watch::Failing;
    }
    fleet.run(20);
    for index in 0..6 {
        assert!(fleet.staleness(index) >= Span::secs(3));
    }
}

#[test]
fn only_one_daemon_per_data_centre_keeps_trying_in_a_store_outage() {
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
fn a_daemon_that_was_paused_still_counts_the_others_as_alive() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    let paused = &mut fleet.nodes[5];
    let resumed = fleet.now + Span::secs(4);
    let actions = paused.roster.tick(resumed, &paused.own);
    assert!(!actions.is_empty());
    assert_eq!(paused.roster.count_alive(resumed), 12);
}

/// Guards against a directory that names a daemon of another data centre which died during a pause of
/// its own, for as long as if it had just been heard. Users' bounds hold again 3 s after a pause.
#[test]
fn a_daemon_that_was_paused_soon_drops_those_that_died_meanwhile() {
    for dead in 0..12 {
        let mut fleet = Fleet::with_centres(12, 3);
        fleet.run(20);
        let paused = (dead + 1) % 12;
        fleet.nodes[dead].alive = false;
        fleet.nodes[paused].alive = false;
        fleet.run(20);
        fleet.nodes[paused].alive = true;
        fleet.run(15);
        let roster = &fleet.nodes[paused].roster;
        let named = roster.members().iter();
        let alive: Vec<&Name> = named
            .filter(|(_, member)| roster.is_alive(member, fleet.now))
            .map(|(name, _)| name)
            .collect();
        assert_eq!(alive.len(), 10, "{dead}: {alive:?}");
        assert!(!alive.contains(&&name(dead)), "{dead}");
    }
}

/// Guards against a pause that makes a daemon of a large fleet take live ones for dead.
#[test]
fn a_daemon_that_was_paused_goes_on_counting_the_others_as_alive() {
    let mut fleet = Fleet::with_centres(118, 4);
    fleet.run(40);
    fleet.nodes[5].alive = false;
    fleet.run(20);
    fleet.nodes[5].alive = true;
    for _ in 0..30 {
        fleet.run(1);
        assert_eq!(fleet.alive_count(5), 117);
    }
}

#[test]
fn a_daemon_that_was_paused_gossips_about_no_member_until_it_hears_it_again() {
    let mut fleet = Fleet::new(13);
    fleet.run(10);
    let paused = &mut fleet.nodes[5];
    let resumed = fleet.now + Span::secs(4);
    for action in paused.roster.tick(resumed, &paused.own) {
        let RosterAction::Send(_, heartbeat) = action else {
            continue;
        };
        assert_eq!(heartbeat.gossip, Vec::new());
    }
}

#[test]
fn a_daemon_fetches_from_one_that_knows_later_revisions() {
    let mut fleet = Fleet::new(3);
    fleet.nodes[1].own.revs.workers = Rev::new(Era::default(), 7);
    fleet.run(20);
    assert!(fleet.nodes[0].fetched.contains(&ip(1)));
    assert!(fleet.nodes[1].fetched.is_empty());
    // The staleness that daemon 1 reports says nothing about the view of daemon 2, which knows
    // less, so daemon 2 fetches.
    assert!(fleet.nodes[2].fetched.contains(&ip(1)));
}

#[test]
fn a_restarted_daemon_is_heard_although_its_sequence_numbers_start_again() {
    let mut fleet = Fleet::new(3);
    fleet.run(30);
    fleet.nodes[2].alive = false;
    fleet.run(25);
    assert_eq!(fleet.alive_count(0), 1);
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
    assert_eq!(fleet.alive_count(0), 2);
}

#[test]
fn occasional_heartbeat_loss_changes_neither_liveness_nor_the_number_of_watchers() {
    let mut fleet = Fleet::new(13);
    fleet.loss = 0.2;
    fleet.run(200);
    for index in 0..13 {
        assert_eq!(fleet.alive_count(index), 12);
    }
    assert_eq!(fleet.watchers().len(), 3);
}

#[test]
fn a_watcher_whose_store_calls_fail_is_replaced_by_two_that_stay_watchers() {
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
fn right_after_a_start_only_the_first_daemon_of_each_data_centre_watches() {
    let mut fleet = Fleet::new(13);
    for index in 0..13 {
        for other in 0..13 {
            let centre = format!("centre-{}", other % 3).as_str().into();
            let now = fleet.now;
            fleet.nodes[index]
                .roster
                .add_member(now, name(other), centre, ip(other));
        }
    }
    let watch_count = |fleet: &Fleet| {
        let must_watch = |node: &&Node| node.roster.must_watch(fleet.now, &node.own);
        fleet.nodes.iter().filter(must_watch).count()
    };
    assert_eq!(watch_count(&fleet), 0);
    let names: Set<Name> = (0..13).map(name).collect();
    for node in &mut fleet.nodes {
        node.roster.retain_registered(fleet.now, &names);
    }
    assert_eq!(watch_count(&fleet), 3);
}

#[test]
fn a_long_silent_daemon_is_removed_only_by_daemons_that_hear_most_others() {
    let mut fleet = Fleet::new(6);
    fleet.run(10);
    fleet.nodes[5].alive = false;
    fleet.run(20);
    let removers = |fleet: &Fleet| {
        let nodes = fleet.nodes.iter().filter(|node| node.alive);
        nodes
            .map(|node| node.roster.expired_members(fleet.now))
            .filter(|names| !names.is_empty())
            .count()
    };
    assert_eq!(removers(&fleet), 0);
    fleet.run(3_100);
    assert_eq!(removers(&fleet), 3, "one per data centre");
    let isolated = &fleet.nodes[5].roster;
    let later = fleet.now + Span::secs(700);
    assert!(isolated.expired_members(later).is_empty());
    assert!(isolated.is_isolated(later));
    assert!(!fleet.nodes[0].roster.is_isolated(fleet.now));
}

#[test]
fn two_data_centres_lead_and_others_take_their_place() {
    let mut fleet = Fleet::new(18);
    fleet.run(20);
    let lead = |fleet: &Fleet| -> Set<usize> {
        let daemons = (0..18).filter(|index| fleet.nodes[*index].alive);
        daemons
            .filter(|index| fleet.nodes[*index].roster.is_lead_centre(fleet.now))
            .map(|index| index % 3)
            .collect()
    };
    let first = lead(&fleet);
    assert_eq!(first.len(), 2);
    let lost = *first.iter().next().expect("a data centre");
    for index in (0..18).filter(|index| index % 3 == lost) {
        fleet.nodes[index].alive = false;
    }
    fleet.run(40);
    let second = lead(&fleet);
    assert_eq!(second.len(), 2);
    assert!(!second.contains(&lost));
}

/// Every call to the store has its price, also one that fails.
#[test]
fn in_an_outage_of_the_store_few_daemons_of_a_large_data_centre_try_it() {
    const SECONDS: usize = 10;
    let mut fleet = Fleet::new(240);
    fleet.run(30);
    let mut tried: Set<usize> = Set::default();
    for _ in 0..SECONDS * 5 {
        for index in fleet.watchers() {
            tried.insert(index);
            fleet.nodes[index].own.watch = Watch::Failing;
        }
        fleet.run(1);
    }
    assert!((3..=60).contains(&tried.len()), "{}", tried.len());
}

/// The store may refuse a third of the daemons and serve the others.
#[test]
fn a_data_centre_finds_a_watcher_although_the_store_refuses_some_of_its_daemons() {
    let mut fleet = Fleet::new(240);
    fleet.run(30);
    let refused: Set<usize> = (0..240).filter(|index| index % 20 < 7).collect();
    let mut stale = Span::ZERO;
    for _ in 0..50 {
        for index in fleet.watchers() {
            if refused.contains(&index) {
                fleet.nodes[index].own.watch = Watch::Failing;
            }
        }
        fleet.run(1);
        let oldest = (0..240).map(|index| fleet.staleness(index)).max();
        stale = oldest.unwrap_or_default().max(stale);
    }
    assert!(stale < Span::millis(2_500), "{stale:?}");
}

/// Guards against a daemon that a whole data centre doesn't know, as nobody there was told its
/// address: all waited for each other to learn it.
#[test]
fn a_daemon_that_is_heard_of_only_through_others_becomes_known() {
    let mut fleet = Fleet::with_centres(30, 3);
    let unheard = 27;
    for index in (0..30).filter(|index| index % 3 == 1) {
        fleet.cut_links.insert((unheard, index));
        fleet.cut_links.insert((index, unheard));
    }
    fleet.nodes[unheard].alive = false;
    fleet.run(50);
    fleet.nodes[unheard].alive = true;
    fleet.run(100);
    for index in (0..30).filter(|index| index % 3 == 1) {
        assert_eq!(fleet.alive_count(index), 29, "daemon {index}");
    }
}

/// Guards against compact gossip that is read by another order than it was written in: a daemon that
/// knows one more gets and sends the full form.
#[test]
fn daemons_that_know_different_members_still_count_each_other_as_alive() {
    let mut fleet = Fleet::with_centres(40, 2);
    fleet.run(50);
    let now = fleet.now;
    let odd = &mut fleet.nodes[3].roster;
    odd.add_member(now, "ghost".into(), "centre-1".into(), ip(200));
    for _ in 0..100 {
        fleet.run(1);
        for index in 0..40 {
            assert_eq!(fleet.alive_count(index), 39, "daemon {index}");
        }
    }
}

#[test]
fn a_daemon_that_dies_is_noticed_through_compact_gossip() {
    let mut fleet = Fleet::with_centres(40, 2);
    fleet.run(100);
    fleet.nodes[7].alive = false;
    fleet.run(40);
    for index in (0..40).filter(|index| *index != 7) {
        assert_eq!(fleet.alive_count(index), 38, "daemon {index}");
    }
}
