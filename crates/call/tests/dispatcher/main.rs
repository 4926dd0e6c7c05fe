//! Tests of the dispatcher without a network: events go in, and the actions that come out are
//! checked.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod cold_start;
mod crashes;
mod failures;
mod forwarding;
mod harness;
mod notices;
mod overload;
mod pauses;
mod random;
mod selection;
mod shedding;
