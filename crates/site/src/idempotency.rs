use serde::{Deserialize, Serialize};

/// Whether a route's requests may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A request is executed at most once each time its caller sends it.
    AtMostOnce,
    /// A request may be executed more than once.
    Idempotent,
}
