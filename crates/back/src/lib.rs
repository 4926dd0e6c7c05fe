//! Connections to upstreams: verified when opened, kept in a pool, waited for together.

mod dial;
mod pool;
mod wait;

pub use {
    dial::{BOOT, Dialed, dial},
    pool::{Pool, Taken},
    wait::{Ready, wait},
};
