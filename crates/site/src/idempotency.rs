use serde::{Deserialize, Serialize};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A request runs at most once for each attempt of its caller.
    AtMostOnce,
    /// A request may run more than once.
    Idempotent,
}
