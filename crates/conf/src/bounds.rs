use unit::Span;

/// Bounds that the users set for the fleet as a whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The multiple of its cold-start rate that a cold worker may get.
    pub cold_factor: f64,
    /// Requests per second that a cold worker may get beyond that multiple.
    pub cold_slack: f64,
    /// How long a leaving worker may still get requests.
    pub drain: Span,
    /// The longest time that a daemon may take to stop.
    pub stop_grace: Span,
    /// The longest time to live of the directory's answers, which callers cache.
    pub max_ttl: Span,
    /// Health requests per second that a worker may get from the whole fleet.
    pub probe_rate: f64,
    /// The retry budget's constant part: retries to a service per window, beyond the ratio.
    pub retry_extra: f64,
    /// The retry budget's proportional part: retries to a service per request for it.
    pub retry_ratio: f64,
    /// The retry budget's window; never zero.
    pub retry_window: Span,
}
