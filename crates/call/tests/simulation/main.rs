//! Simulations of several daemons under load, with checks of what the callers get. Time is virtual,
//! so every run with the same seed is the same.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod limit_rule;
mod limits;
mod loads;
mod rejections;
mod report;
mod restarts;
mod retry_rule;
mod scenario;
mod shedding;
mod sim_daemon;
mod sim_worker;
mod simulation;
