use unit::Span;

/// The factor by which one sample raises the estimate, or its inverse lowers it.
const STEP: f64 = 1.05;
const MIN_ESTIMATE: Span = Span::millis(1);

/// A running estimate of a median latency. Each sample moves it one small step up or down, so
/// single outliers hardly matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MedianEstimate(Span);

impl MedianEstimate {
    /// An estimate that starts at `initial`.
    pub fn new(initial: Span) -> Self {
        Self(initial.max(MIN_ESTIMATE))
    }

    /// The current estimate.
    pub const fn span(self) -> Span {
        self.0
    }

    /// Moves the estimate one step towards a sample.
    pub fn record(&mut self, sample: Span) {
        let factor = if sample > self.0 { STEP } else { 1.0 / STEP };
        self.0 = self.0.scale(factor).max(MIN_ESTIMATE);
    }
}
