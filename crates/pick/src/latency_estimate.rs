use {crate::MedianEstimate, site::LoadReport, unit::Span};

/// The pace, in percent of the usual, from which on a worker's machine counts as slow.
pub(crate) const SLOW_PACE: u32 = 150;
/// The initial estimate for slow machines, as a multiple of the one for the usual pace.
const INITIAL_SLOW_FACTOR: f64 = 3.0;

/// The typical latency of one kind of request, by the load under which it starts. A machine that is
/// slow when a request starts may be back at its usual pace before the request ends, so slow
/// machines have an estimate of their own instead of one scaled by the pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyEstimate {
    slow: MedianEstimate,
    baseline: MedianEstimate,
}

impl LatencyEstimate {
    /// An estimate that starts at `initial` for machines at their usual pace.
    pub fn new(initial: Span) -> Self {
        Self {
            slow: MedianEstimate::new(initial.scale(INITIAL_SLOW_FACTOR)),
            baseline: MedianEstimate::new(initial),
        }
    }

    /// The typical latency on a machine at its usual pace.
    pub const fn baseline(&self) -> Span {
        self.baseline.span()
    }

    /// The typical latency of a request that starts under `load`.
    pub fn for_load(&self, load: Option<LoadReport>) -> Span {
        match load {
            Some(load) if load.latency_percent >= SLOW_PACE => {
                self.slow.span().max(self.baseline.span())
            }
            Some(load) => self
                .baseline
                .span()
                .scale(f64::from(load.latency_percent) / 100.0),
            None => self.baseline.span(),
        }
    }

    /// Records the latency of a request that started under `load`.
    pub fn record(&mut self, load: Option<LoadReport>, latency: Span) {
        match load {
            Some(load) if load.latency_percent >= SLOW_PACE => self.slow.record(latency),
            Some(load) => self
                .baseline
                .record(latency.scale(100.0 / f64::from(load.latency_percent.max(1)))),
            None => self.baseline.record(latency),
        }
    }
}
