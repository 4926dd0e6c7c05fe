//! Fleets of real daemons under failures, judged by what callers and workers saw.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod callers;
mod changes;
mod daemons;
mod explain;
mod scene;
mod store;
mod workers;
