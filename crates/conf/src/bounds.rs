use {crate::QuotaBounds, unit::Span};

/// Limits that the users set for the fleet as a whole.
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
    /// The longest time for which callers may cache the directory's responses.
    pub max_ttl: Span,
    /// Health probes per second that a worker may get from the whole fleet.
    pub probe_rate: f64,
    /// Retries and hedges to a service that are allowed per window, beyond what the ratio
    /// allows.
    pub retry_extra: f64,
    /// Retries and hedges to a service that are allowed per request for it.
    pub retry_ratio: f64,
    /// The length of that window; never zero.
    pub retry_window: Span,
    /// The limits on quotas of client accounts; `None` where accounts have none.
    pub quotas: Option<QuotaBounds>,
    /// The limits on rollouts; `None` where no version is rolled out.
    pub rollouts: Option<RolloutBounds>,
}

/// Limits on what a service's new version gets before it is known to be good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// The longest time from the 50th bad response to the last request that is sent to it.
    pub rollback: Span,
    /// The part of the service's requests that it may get.
    pub share: f64,
    /// The requests that it may get beyond that part.
    pub slack: f64,
}
