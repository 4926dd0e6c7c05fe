//! Failures: at any time at most one grantor, the sum within its bound, and service again soon.

use {crate::harness::Fleet, quota::SHARDS, unit::Span};

const QUOTAS: [(f64, u32); 3] = [(0.2, 0), (20.0, 10), (100.0, 100)];
/// How long after the failure of a grantor each shard has one again, at the latest: a lease, and
/// some candidates that are dead too.
const RECOVERY: Span = Span::secs(6);
/// The same after the end of a cut: candidates that asked in vain during it have paused.
const CANDIDACY: Span = Span::secs(10);

/// A fleet that has settled, with a load of twice the quotas for the time of a test.
fn loaded(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed, &QUOTAS);
    fleet.run(Span::secs(10));
    assert_eq!(fleet.served_shards(), SHARDS);
    let nodes = fleet.all();
    for (account, (rate, _)) in QUOTAS.iter().enumerate() {
        fleet.add_load(account, rate * 2.0, Span::secs(50), &nodes);
    }
    fleet.run(Span::secs(10));
    fleet
}

/// Asserts that every shard has a grantor and that the accounts get their quotas again.
fn assert_recovered(fleet: &mut Fleet) {
    assert_eq!(fleet.served_shards(), SHARDS);
    let start = fleet.now;
    fleet.run(Span::secs(10));
    assert_eq!(fleet.served_shards(), SHARDS);
    for (account, (rate, _)) in QUOTAS.iter().enumerate().skip(1) {
        let served = fleet.records[account].admitted_since(start) as f64;
        assert!(served >= rate * 9.0, "account {account}: {served}");
    }
    fleet.assert_bounds();
}

#[test]
fn killed_grantors_are_replaced() {
    for size in [13, 118] {
        let mut fleet = loaded(size, 1);
        for index in fleet.grantors().into_iter().take(3) {
            fleet.kill(index);
        }
        fleet.run(RECOVERY);
        assert_recovered(&mut fleet);
    }
}

#[test]
fn a_frozen_grantor_grants_nothing_after_its_lease() {
    for size in [13, 118] {
        let mut fleet = loaded(size, 2);
        let frozen = fleet.grantor_of(2).expect("a grantor");
        fleet.freeze(frozen);
        fleet.run(RECOVERY);
        assert_ne!(fleet.grantor_of(2), Some(frozen));
        fleet.thaw(frozen);
        fleet.run(Span::secs(1));
        assert_recovered(&mut fleet);
    }
}

/// Freezes shorter than a lease, after which the grantor still is one.
#[test]
fn a_grantor_that_was_frozen_for_a_second_keeps_the_bound() {
    let mut fleet = loaded(13, 3);
    for _ in 0..5 {
        let frozen = fleet.grantor_of(2).expect("a grantor");
        fleet.freeze(frozen);
        fleet.run(Span::secs(1));
        fleet.thaw(frozen);
        fleet.run(Span::millis(500));
    }
    fleet.run(RECOVERY);
    assert_recovered(&mut fleet);
}

#[test]
fn a_grantor_that_restarts_under_its_name_starts_empty() {
    for size in [13, 118] {
        let mut fleet = loaded(size, 4);
        let grantor = fleet.grantor_of(2).expect("a grantor");
        fleet.kill(grantor);
        fleet.run(Span::millis(200));
        fleet.restart(grantor);
        fleet.run(RECOVERY);
        assert_recovered(&mut fleet);
    }
}

#[test]
fn a_third_of_the_daemons_is_cut_off() {
    for size in [13, 118] {
        let mut fleet = loaded(size, 5);
        // The grantors are among those that are cut off.
        let mut part: Vec<usize> = fleet.grantors().into_iter().take(size / 3).collect();
        let others: Vec<usize> = fleet
            .all()
            .into_iter()
            .filter(|i| !part.contains(i))
            .collect();
        part.extend(others.into_iter().take(size / 3 - part.len()));
        fleet.split(&part);
        fleet.run(Span::secs(10));
        assert_eq!(fleet.served_shards(), SHARDS);
        assert!(fleet.grantors().iter().all(|index| !part.contains(index)));
        fleet.heal();
        fleet.run(Span::secs(1));
        assert_recovered(&mut fleet);
    }
}

/// Guards against a grantor on each side of a partition, each with the whole rate.
#[test]
fn two_halves_have_at_most_one_grantor_and_keep_the_bound() {
    let mut fleet = loaded(12, 6);
    fleet.split(&[0, 1, 2, 3, 4, 5]);
    fleet.run(Span::secs(10));
    assert_eq!(fleet.served_shards(), 0);
    fleet.assert_bounds();
    fleet.heal();
    fleet.run(RECOVERY);
    assert_recovered(&mut fleet);
}

#[test]
fn a_lost_data_centre_leaves_a_quorum() {
    let mut fleet = loaded(118, 7);
    for index in (0..118).filter(|index| index % 3 == 0) {
        fleet.kill(index);
    }
    fleet.run(RECOVERY);
    assert_eq!(fleet.served_shards(), SHARDS);
    fleet.run(Span::secs(10));
    fleet.assert_bounds();
}

#[test]
fn a_fleet_that_restarts_at_once_keeps_the_bound() {
    for size in [13, 118] {
        let mut fleet = loaded(size, 8);
        for index in 0..size {
            fleet.kill(index);
        }
        fleet.run(Span::millis(300));
        for index in 0..size {
            fleet.restart(index);
        }
        fleet.run(RECOVERY);
        assert_recovered(&mut fleet);
    }
}

#[test]
fn lost_and_doubled_datagrams_cost_little() {
    let mut fleet = loaded(118, 9);
    fleet.loss = 0.05;
    fleet.doubled = 0.05;
    fleet.delay = Span::millis(20);
    fleet.run(Span::secs(20));
    assert_recovered(&mut fleet);
}

/// Guards against an outage with each daemon of a rolling upgrade that is a grantor.
#[test]
fn a_grantor_that_stops_hands_over_at_once() {
    for seed in 10..30 {
        let mut fleet = loaded(13, seed);
        // Also in the middle of a round, some messages of which arrive after the last one.
        fleet.run(Span::micros(seed * 40));
        let grantor = fleet.grantor_of(2).expect("a grantor");
        fleet.retire(grantor);
        fleet.run(Span::secs(1));
        let successor = fleet.grantor_of(2);
        assert!(
            successor.is_some_and(|index| index != grantor),
            "seed {seed}"
        );
        assert_recovered(&mut fleet);
    }
}

/// The large site, for a shorter time.
#[test]
fn the_large_site_recovers_from_killed_grantors() {
    let mut fleet = Fleet::new(472, 11, &QUOTAS);
    fleet.run(Span::secs(8));
    for index in fleet.grantors() {
        fleet.kill(index);
    }
    let nodes = fleet.all();
    fleet.add_load(2, 150.0, Span::secs(10), &nodes);
    fleet.run(RECOVERY);
    assert_eq!(fleet.served_shards(), SHARDS);
    fleet.run(Span::secs(4));
    fleet.assert_bounds();
}

/// Guards against two grantors where a part of the fleet is cut off while daemons join the rest: they
/// are no majority of those before them, and the daemons that joined don't know of these.
#[test]
fn daemons_that_join_beside_a_cut_make_no_second_quorum() {
    for size in 7..24 {
        let mut fleet = loaded(size, size as u64);
        let most: Vec<usize> = (0..size / 2 + 1).collect();
        fleet.split(&most);
        fleet.grow(size / 3);
        // Two grantors of a shard at one time end the test.
        fleet.run(Span::secs(15));
        fleet.heal();
        fleet.run(CANDIDACY);
        assert_recovered(&mut fleet);
    }
}

/// Guards against elections that daemons which join hold up: the others learn of them in orders of
/// their own, so that there are many views for a while, none of which lasts.
#[test]
fn a_fleet_that_grows_goes_on_serving() {
    for size in [7, 13, 118] {
        let mut fleet = loaded(size, 12);
        let start = fleet.now;
        fleet.grow_unevenly(size / 2);
        for _ in 0..10 {
            assert_eq!(fleet.served_shards(), SHARDS, "{size}");
            fleet.run(Span::secs(1));
        }
        let span = fleet.now.since(start).as_secs();
        let served = fleet.records[2].admitted_since(start) as f64;
        assert!(served >= 90.0 * span, "{size}: {served} in {span} s");
        // A grantor of before that stops has a successor of before.
        let grantor = fleet.grantor_of(2).expect("a grantor");
        fleet.retire(grantor);
        fleet.run(RECOVERY);
        assert!(fleet.grantor_of(2).is_some_and(|index| index < size));
        fleet.assert_bounds();
    }
}
