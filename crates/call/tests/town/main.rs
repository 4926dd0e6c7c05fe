//! Loads played on several daemons at once, and what callers get. Time is virtual: every run of a seed
//! is the same.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod daemon;
mod loads;
mod machine;
mod report;
mod shape;
mod town;
