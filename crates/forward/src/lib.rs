//! Requests that a daemon passes on to another one, since it can't reach the workers itself.

mod reach;

pub use reach::Reach;
