//! Short soaks, and the seeds of longer ones that once failed.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    standin::Soak,
    std::{path::Path, time::Duration},
};

fn soak(seed: u64, seconds: u64) {
    let soak = Soak {
        daemons: 5,
        program: Path::new(env!("CARGO_BIN_EXE_anvilferryd")).to_owned(),
        seed,
        duration: Duration::from_secs(seconds),
    };
    let verdict = soak.run().expect("the stand-ins work");
    assert!(
        verdict.violations.is_empty(),
        "{verdict}\n{}",
        verdict.faults.join("; ")
    );
}

#[test]
fn a_short_soak_breaks_nothing() {
    soak(20_261_204, 6);
}

/// Workers that turned cold got 47 and 75 requests in a second: daemons that had no permit to ask
/// took them for warm for half a second.
#[test]
fn workers_that_turn_cold_under_more_load_than_may_be_asked_for() {
    soak(306, 8);
}

#[test]
fn another_short_soak_breaks_nothing() {
    soak(41, 6);
}
