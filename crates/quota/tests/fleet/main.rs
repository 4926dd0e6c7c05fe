//! Tests of quotas in simulated fleets.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod failures;
mod grants;
mod harness;
mod limits;
mod schedules;
mod steady;
