//! What heartbeats cost in fleets of the sizes that are aimed at.

use {crate::harness::Fleet, unit::Span};

/// What a daemon may spend on heartbeats, sent and heard, in bytes a second.
const ALLOWED: usize = 20_000;

/// Bytes a second of the daemon that sends and hears most, once all know each other.
fn busiest(size: usize, centres: usize) -> usize {
    const SECONDS: usize = 20;
    let mut fleet = Fleet::spread(size, centres);
    fleet.run(50);
    for node in &mut fleet.nodes {
        node.bytes = 0;
    }
    fleet.run(5 * SECONDS);
    for at in 0..size {
        assert_eq!(fleet.sees(at), size - 1, "daemon {at}");
        assert!(fleet.age(at) < Span::secs(1), "daemon {at}");
    }
    let bytes = fleet.nodes.iter().map(|node| node.bytes);
    bytes.max().unwrap_or(0) / SECONDS
}

#[test]
fn heartbeats_at_the_target_size_stay_within_what_is_allowed() {
    let bytes = busiest(160, 16);
    assert!(bytes <= ALLOWED, "{bytes} bytes a second");
}

#[test]
fn in_a_fleet_that_lives_nobody_is_taken_for_dead() {
    const SIZE: usize = 126;
    let mut fleet = Fleet::spread(SIZE, 4);
    fleet.lags = true;
    fleet.run(60);
    let mut missed = 0;
    for _ in 0..5 * 120 {
        fleet.run(1);
        let sees_all = |at: &usize| fleet.sees(*at) == SIZE - 1;
        missed += SIZE - (0..SIZE).filter(sees_all).count();
    }
    assert_eq!(missed, 0);
}
