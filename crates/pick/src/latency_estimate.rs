use {crate::MedianEstimate, site::LoadReport, unit::Span};

/// The [`LoadReport::latency_percent`] from which on a worker's machine counts as slow.
pub(crate) const SLOW_PERCENT: u32 = 150;
/// The initial estimate for slow machines, as a multiple of the one for normal speed.
const INITIAL_SLOW_FACTOR: f64 = 3.0;

/// The typical latency of one kind of request, by the load under which it starts. A machine that is
/// slow when a request starts may be back at normal speed before the request ends, so slow machines
/// have an estimate of their own instead of one scaled by the reported latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyEstimate {
    /// For machines that count as slow.
    slow: MedianEstimate,
    /// For all other machines, scaled to normal speed.
    baseline: MedianEstimate,
}

impl LatencyEstimate {
    /// An estimate that starts at `initial` for machines at normal speed.
    pub fn new(initial: Span) -> Self {
        Self {
            slow: MedianEstimate::new(initial.scale(INITIAL_SLOW_FACTOR)),
            baseline: MedianEstimate::new(initial),
        }
    }

    /// The typical latency on a machine at normal speed.
    pub const fn baseline(&self) -> Span {
        self.baseline.span()
    }

    /// The typical latency of a request that starts under `load`.
    pub fn for_load(&self, load: Option<LoadReport>) -> Span {
        match load {
            Some(load) if load.latency_percent >= SLOW_PERCENT => {
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
            Some(load) if load.latency_percent >= SLOW_PERCENT => self.slow.record(latency),
            Some(load) => self
                .baseline
                .record(latency.scale(100.0 / f64::from(load.latency_percent.max(1)))),
            None => self.baseline.record(latency),
        }
    }
}
