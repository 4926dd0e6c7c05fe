use {
    crate::RouteKind,
    serde::{Deserialize, Serialize},
    unit::{Name, Span},
};

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Name,
    /// The service's weight, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// How requests for one host and path prefix are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The most attempts for one request, retries and hedges included, each at another worker; at
    /// least 1.
    pub max_attempts: u32,
    /// What its requests are, and so whether one may be executed more than once.
    pub kind: RouteKind,
    /// The route's name.
    pub name: Name,
    /// The latency objective: a response within this time has its full value to the caller.
    pub objective: Span,
    /// The prefix of the paths; begins and ends with a slash.
    pub prefix: Name,
    /// The priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Why its requests are rejected; `None` for a route that is served.
    pub problem: Option<Name>,
    /// Whether its requests need no key of a client account.
    pub public: bool,
    /// The services that get the requests. Empty if there is a `problem`; otherwise never empty,
    /// and the weights are never all zero.
    pub targets: Vec<Target>,
    /// The longest time that a caller waits for a response.
    pub timeout: Span,
}

impl Route {
    /// A route whose requests are all rejected, and why. It keeps them from a route with a shorter
    /// prefix, whose services must not get them.
    pub fn unserved(name: Name, prefix: Name, problem: Name) -> Self {
        Self {
            max_attempts: 1,
            kind: RouteKind::AtMostOnce,
            name,
            objective: Span::ZERO,
            prefix,
            priority: 0,
            problem: Some(problem),
            public: false,
            targets: Vec::new(),
            timeout: Span::ZERO,
        }
    }
}
