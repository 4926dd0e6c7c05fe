//! Rollouts in fleets of many daemons.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod lanes;
mod simulation;
mod sums;
