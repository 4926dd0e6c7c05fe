//! Fleets of rosters, and the messages between them.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod harness;
mod messages;
mod roster;
mod sizes;
