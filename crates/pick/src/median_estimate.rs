use unit::Span;

/// How far one sample moves the estimate, as a factor.
const STEP: f64 = 1.05;
const FLOOR: Span = Span::millis(1);

/// The median time that a kind of work takes at the usual pace, followed in small steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MedianEstimate(Span);

impl MedianEstimate {
    /// Starts from a guess.
    pub fn new(guess: Span) -> Self {
        Self(guess.max(FLOOR))
    }

    /// The estimate.
    pub const fn span(self) -> Span {
        self.0
    }

    /// Moves the estimate towards a sample.
    pub fn record(&mut self, sample: Span) {
        let factor = if sample > self.0 { STEP } else { 1.0 / STEP };
        self.0 = self.0.scale(factor).max(FLOOR);
    }
}
