//! How changes from the store and from other daemons are merged into a daemon's view of the site.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod changes;
mod harness;
mod restores;
mod rollouts;
