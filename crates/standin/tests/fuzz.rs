//! A short run of each fuzz target.

#![allow(clippy::panic, reason = "a test fails by panicking")]

use {
    clap::ValueEnum,
    standin::{FuzzTarget, fuzz},
};

/// The inputs for each target.
const CASES: u64 = 20_000;

#[test]
fn no_decoder_panics() {
    for target in FuzzTarget::value_variants() {
        if let Err(error) = fuzz(*target, 20_261_204, CASES) {
            panic!("{error}");
        }
    }
}
