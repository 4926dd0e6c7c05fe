//! What is within the quota is served, and what is above it isn't, in fleets without failures.

use {
    crate::harness::{BOUNDS, Fleet, bound},
    unit::Span,
};

/// The time for which fleets settle after their start.
const SETTLE: Span = Span::secs(10);
/// The largest share of the requests within a quota that may be refused.
const MAX_REFUSED: f64 = 0.01;
/// The most traffic between daemons for quotas, in bytes per second; less than half of the budget
/// of a daemon's control traffic.
const MAX_BYTES: usize = 9_000;

/// The same where all accounts send ten times their quota, which denials add to.
const MAX_BYTES_OVERLOADED: usize = 13_000;

/// Runs a load of `load` times the rate of each account, at the daemons that `nodes` returns for
/// each account in each part of the time. Returns the largest share that was refused.
fn run(
    fleet: &mut Fleet,
    load: f64,
    seconds: u64,
    nodes: impl Fn(&Fleet, usize, u64) -> Vec<usize>,
) -> f64 {
    const PART: Span = Span::secs(5);
    fleet.run(SETTLE);
    assert_eq!(fleet.served_shards(), quota::SHARDS);
    let start = fleet.now;
    for node in &mut fleet.nodes {
        node.bytes = 0;
    }
    for part in 0..seconds / 5 {
        for account in 0..fleet.accounts.len() {
            let rate = fleet.accounts[account]
                .rate
                .expect("a rate")
                .as_per_second();
            let nodes = nodes(fleet, account, part);
            fleet.add_load(account, rate * load, PART, &nodes);
        }
        fleet.run(PART);
    }
    fleet.assert_bounds();
    let peak = fleet.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
    let bytes = peak / seconds as usize;
    let shares: Vec<f64> = fleet
        .records
        .iter()
        .map(|record| record.refused_share(start))
        .collect();
    println!(
        "size {} load {load}: {bytes} bytes/s, refused {shares:?}",
        fleet.nodes.len()
    );
    let most = if load > 1.0 {
        MAX_BYTES_OVERLOADED
    } else {
        MAX_BYTES
    };
    assert!(bytes <= most, "{bytes} bytes per second");
    shares.into_iter().fold(0.0, f64::max)
}

const RATES: [(f64, u32); 6] = [
    (0.2, 0),
    (0.5, 2),
    (2.0, 0),
    (10.0, 5),
    (50.0, 0),
    (200.0, 40),
];

fn everywhere(fleet: &Fleet, _: usize, _: u64) -> Vec<usize> {
    fleet.all()
}

#[test]
fn requests_within_the_quota_are_served_in_small_fleets() {
    let mut fleet = Fleet::new(13, 1, &RATES);
    let refused = run(&mut fleet, 0.95, 150, everywhere);
    assert!(refused <= MAX_REFUSED, "{refused}");
}

#[test]
fn requests_within_the_quota_are_served_with_118_daemons() {
    let mut fleet = Fleet::new(118, 2, &RATES);
    let refused = run(&mut fleet, 0.95, 150, everywhere);
    assert!(refused <= MAX_REFUSED, "{refused}");
}

/// Callers at random times whose mean is the whole rate.
#[test]
fn requests_at_the_full_rate_are_served_with_118_daemons() {
    let mut fleet = Fleet::new(118, 3, &RATES);
    let refused = run(&mut fleet, 1.0, 150, everywhere);
    assert!(refused <= MAX_REFUSED, "{refused}");
}

#[test]
fn requests_within_the_quota_are_served_at_the_large_site() {
    let mut fleet = Fleet::new(472, 4, &RATES);
    let refused = run(&mut fleet, 0.95, 30, everywhere);
    assert!(refused <= MAX_REFUSED, "{refused}");
}

/// A grantor would refuse such accounts if its tokens were divided among the daemons beforehand.
#[test]
fn an_account_may_use_its_whole_quota_at_one_daemon() {
    let mut fleet = Fleet::new(118, 5, &RATES);
    let refused = run(&mut fleet, 0.95, 100, |fleet, account, _| {
        vec![account * 7 % fleet.nodes.len()]
    });
    assert!(refused <= MAX_REFUSED, "{refused}");
}

#[test]
fn callers_may_move_between_daemons() {
    let mut fleet = Fleet::new(118, 6, &RATES);
    let refused = run(&mut fleet, 0.95, 100, |fleet, account, part| {
        let first = account * 7 + part as usize * 3;
        (first..first + 3)
            .map(|index| index % fleet.nodes.len())
            .collect()
    });
    assert!(refused <= MAX_REFUSED, "{refused}");
}

#[test]
fn ten_times_the_quota_is_held_to_the_quota() {
    for size in [13, 118] {
        let mut fleet = Fleet::new(size, 7, &RATES);
        let refused = run(&mut fleet, 10.0, 60, everywhere);
        assert!(refused > 0.8, "{refused}");
        for (account, record) in fleet.accounts.iter().zip(&fleet.records) {
            let rate = account.rate.expect("a rate").as_per_second();
            let served = record.admitted.len() as f64;
            assert!(served >= rate * 60.0 * 0.95, "{}: {served}", account.name);
            let most = record.most_in(BOUNDS.window);
            println!("{} {most} of {}", account.name, bound(account));
        }
    }
}
