//! Types shared by every crate: times and spans, names, and hash maps and functions.

mod clock;
mod hash;
mod span;
mod time;

pub use {
    clock::Clock,
    hash::{Map, Set, digest, rendezvous_weight},
    span::Span,
    time::Time,
};

use std::sync::Arc;

/// The shared, immutable name of a service, a worker, a daemon or a data centre, or other such
/// text.
pub type Name = Arc<str>;
