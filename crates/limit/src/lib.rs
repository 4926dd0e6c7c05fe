//! Shares of limits that bind the fleet as a whole. Each daemon keeps within its own share by
//! itself, so the sum holds whether or not the daemons are in touch.

mod cold;
mod probe;
mod retry;
mod window;

pub use {
    cold::{ColdShare, Peers},
    probe::ProbeShare,
    retry::RetryShare,
    window::Window,
};
