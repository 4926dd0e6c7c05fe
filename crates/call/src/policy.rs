use {conf::Bounds, unit::Span};

/// The settings of the decisions about requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// What the users allow the fleet.
    pub bounds: Bounds,
    /// Workers that one request asks for room before it settles for the best of them.
    pub max_probes: usize,
    /// How long a worker's health endpoint may take.
    pub probe_timeout: Span,
    /// The part of the retry share that may go to requests sent again for slowness alone.
    pub hedge_fraction: f64,
    /// How long a request waits before it asks again, where no worker has room.
    pub backoff: Span,
}

impl Policy {
    /// The usual policy within the users' bounds.
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            max_probes: 6,
            probe_timeout: Span::millis(40),
            hedge_fraction: 0.5,
            backoff: Span::millis(10),
        }
    }
}
