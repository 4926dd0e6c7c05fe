//! Whole fleets of decision cores in virtual time: golden sessions, and random failures.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

mod chaos;
mod fleet;
mod sessions;
