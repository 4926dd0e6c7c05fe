//! Runs fleets of real daemons, injects failures and checks what callers and workers observed.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod accounts;
mod budgets;
mod callers;
mod changes;
mod crashes;
mod cuts;
mod daemons;
mod downloads;
mod explain;
mod floods;
mod notices;
mod preview;
mod quotas;
mod restores;
mod rollouts;
mod stops;
mod store;
mod support;
mod uploads;
mod workers;
