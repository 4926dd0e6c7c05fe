//! Types that the other crates share: times and spans, names, and hash maps and functions.

mod clock;
mod hash;
mod rate;
mod span;
mod time;

pub use {
    clock::Clock,
    hash::{Map, Set, digest, rendezvous_weight},
    rate::Rate,
    span::Span,
    time::Time,
};

use std::sync::Arc;

/// A shared, immutable string, mostly the name of a service, a worker, a daemon or a data centre.
pub type Name = Arc<str>;
