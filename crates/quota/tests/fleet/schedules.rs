//! Random schedules of failures.

use {
    crate::harness::Fleet,
    quickcheck::{QuickCheck, TestResult},
    unit::Span,
};

/// The most steps of a schedule, to keep the test short.
const MAX_STEPS: usize = 25;

/// Runs one schedule: each step is a failure or repair and a time until the next one.
fn keeps_the_bound(size: u8, seed: u64, steps: Vec<(u8, u8, u8)>) -> TestResult {
    let size = usize::from(size % 12) + 1;
    let mut fleet = Fleet::new(size, seed, &[(0.2, 0), (20.0, 10), (100.0, 0)]);
    fleet.delay = Span::millis(30);
    let nodes = fleet.all();
    for account in 0..3 {
        fleet.add_load(account, 150.0, Span::secs(60), &nodes);
    }
    fleet.run(Span::secs(4));
    for (kind, target, pause) in steps.into_iter().take(MAX_STEPS) {
        let index = usize::from(target) % size;
        let node = &fleet.nodes[index];
        match kind % 7 {
            0 if node.alive => fleet.kill(index),
            0 | 1 => {
                fleet.kill(index);
                fleet.restart(index);
            }
            2 if node.frozen => fleet.thaw(index),
            2 if node.alive => fleet.freeze(index),
            3 => fleet.split(&(0..index).collect::<Vec<_>>()),
            4 => fleet.heal(),
            5 => fleet.loss = f64::from(target % 5) / 10.0,
            6 => fleet.doubled = f64::from(target % 5) / 10.0,
            _ => {}
        }
        fleet.run(Span::millis(u64::from(pause) * 16));
    }
    fleet.run(Span::secs(10));
    // The harness fails when two daemons are grantors of one shard.
    fleet.assert_bounds();
    TestResult::passed()
}

#[test]
fn random_failures_keep_the_bound_and_never_make_two_grantors() {
    QuickCheck::new()
        .tests(60)
        .quickcheck(keeps_the_bound as fn(u8, u64, Vec<(u8, u8, u8)>) -> TestResult);
}
