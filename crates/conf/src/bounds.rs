use unit::Span;

/// What the users allow the fleet as a whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How many times its own rate a cold worker may get.
    pub cold_factor: f64,
    /// Requests that a cold worker may get beyond that in a second.
    pub cold_slack: f64,
    /// How long a worker that leaves may still get work.
    pub drain: Span,
    /// How long a daemon may take to stop.
    pub stop_grace: Span,
    /// The longest time for which callers keep an answer of the directory.
    pub max_ttl: Span,
    /// Health requests that a worker may get in a second.
    pub probe_rate: f64,
    /// Repeated sends to a service in a window beyond the ratio.
    pub retry_extra: f64,
    /// Repeated sends to a service for each request for it.
    pub retry_ratio: f64,
    /// The length of the window; never zero.
    pub retry_window: Span,
}
