//! Requests played through the desk without a network.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod chaos;
mod cold;
mod failures;
mod overload;
mod scene;
mod sending;
