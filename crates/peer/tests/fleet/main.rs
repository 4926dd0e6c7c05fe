//! Tests of simulated fleets and of the messages between daemons.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod builds;
mod crashes;
mod harness;
mod legacy;
mod messages;
mod roster;
mod scale;
