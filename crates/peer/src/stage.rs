//! What a daemon reports about its lifecycle and its watch on the store.

use serde::{Deserialize, Serialize};

/// The lifecycle stage of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It is shutting down and serves only its remaining callers.
    Leaving,
    /// It accepts callers.
    Ready,
    /// It doesn't know enough of the site yet to serve callers.
    Starting,
}

/// The state of a daemon's watch on the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Watch {
    /// The daemon's calls to the store fail.
    Failing,
    /// The daemon watches the store, and its view of the site is current.
    Live,
    /// The daemon doesn't watch the store.
    Off,
}
