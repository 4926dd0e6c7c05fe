//! Limits: budgets, admission, slow start and the left-out states of workers, without clocks.

mod drain;
mod estimate;
mod extra;
mod health;
mod pace;
mod quantile;
mod queue;
mod ramp;
mod waiting;
mod window;

pub use {
    drain::Drain,
    estimate::Estimate,
    extra::Extra,
    health::Health,
    pace::Pace,
    quantile::Quantile,
    queue::{Full, Lane, Queue},
    ramp::Ramp,
    waiting::Waiting,
    window::Window,
};
