//! Limits that bind the fleet as a whole. Each daemon has a budget, its own share of a limit, and
//! keeps to it without coordination, so the sum stays within the limit whether or not the daemons
//! can reach each other.

mod cold_start_budget;
mod probe_budget;
mod request_budget;
mod retry_budget;
mod sliding_window;

pub use {
    cold_start_budget::{COLD_START_WINDOW, ColdStartBudget, FleetPosition},
    probe_budget::ProbeBudget,
    request_budget::{LOCAL_FRACTION, MAX_COUNTED, Placement, RequestBudget},
    retry_budget::{RetryBudget, RetryUsage},
    sliding_window::SlidingWindow,
};
