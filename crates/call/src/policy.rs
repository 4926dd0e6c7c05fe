use {conf::Bounds, pick::TransferPrice, unit::Span};

/// The settings of worker selection, retries and hedges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The fleet-wide limits that the operators set.
    pub bounds: Bounds,
    /// The most workers that a request probes in one round of worker selection. After that it is
    /// sent to the best candidate, or backs off to find a better one.
    pub max_probes: usize,
    /// The most workers that respond to probes of a request in one round. The fleet's probes are
    /// limited, and those of workers without room are lost to other requests: with six, more than
    /// half of the reads of 46 daemons were late or refused at three quarters of the capacity.
    pub max_answers: usize,
    /// As `max_answers`, for a request that has backed off.
    pub waiting_answers: usize,
    /// How long to wait for the response to a health probe.
    pub probe_timeout: Span,
    /// The fraction of the daemon's retry budget up to which hedges are sent; the rest is for
    /// retries after failures.
    pub hedge_fraction: f64,
    /// The price of bytes between data centres; `None` if requests leave their data centre whenever
    /// its workers have no room.
    pub transfer_price: Option<TransferPrice>,
    /// The mean wait before a request probes again after it found no suitable worker. Each wait is
    /// jittered: it is between half and one and a half times as long.
    pub backoff: Span,
}

impl Policy {
    /// The default policy within the operators' limits.
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            max_probes: 6,
            max_answers: 3,
            waiting_answers: 1,
            probe_timeout: Span::millis(40),
            hedge_fraction: 0.5,
            transfer_price: None,
            backoff: Span::millis(10),
        }
    }
}
