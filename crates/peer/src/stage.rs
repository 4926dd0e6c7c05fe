use serde::{Deserialize, Serialize};

/// Where a daemon stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It was told to stop and serves the rest of its callers.
    Leaving,
    /// It takes callers.
    Ready,
    /// It doesn't know enough yet to serve.
    Starting,
}

/// How a daemon stands with the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Watch {
    /// The store fails it.
    Failing,
    /// It watches, and what it knows is current.
    Live,
    /// It doesn't watch.
    Off,
}
