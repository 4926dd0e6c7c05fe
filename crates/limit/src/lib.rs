//! Shares of limits that bind the fleet as a whole. Each daemon keeps within its own share by
//! itself, so the sum holds whether or not the daemons are in touch.

mod cold_start_budget;
mod probe_budget;
mod retry_budget;
mod sliding_window;

pub use {
    cold_start_budget::{ColdStartBudget, FleetPosition},
    probe_budget::ProbeBudget,
    retry_budget::RetryBudget,
    sliding_window::SlidingWindow,
};
