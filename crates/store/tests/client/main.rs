//! The client of the store, played without one.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod members;
mod scene;
mod topics;
