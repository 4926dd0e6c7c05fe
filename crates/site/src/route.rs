use {
    crate::Idempotency,
    serde::{Deserialize, Serialize},
    unit::{Name, Span},
};

/// One service that a route sends to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Its part of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// Requests of one host below one path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The most workers to which one request may be sent; at least 1.
    pub max_attempts: u32,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// The route's name.
    pub name: Name,
    /// The time within which an answer has its full worth to the caller.
    pub objective: Span,
    /// The beginning of the paths; begins and ends with a slash.
    pub prefix: Name,
    /// The rank of its requests; 0 is the highest.
    pub priority: u32,
    /// Where its requests go; never empty, and the weights never all zero.
    pub targets: Vec<Target>,
    /// The longest time that a caller is kept waiting.
    pub timeout: Span,
}
