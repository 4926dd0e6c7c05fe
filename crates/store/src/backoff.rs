use {fastrand::Rng, unit::Span};

const FIRST: Span = Span::millis(250);
const MOST: Span = Span::millis(1_500);
const MAX_DOUBLINGS: u32 = 4;

/// Growing pauses between calls that fail.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff(u32);

impl Backoff {
    /// The pause after one more failure: between half of it and all of it, by chance.
    pub(crate) fn next(&mut self, rng: &mut Rng) -> Span {
        let span = (FIRST * (1 << self.0)).min(MOST);
        self.0 = (self.0 + 1).min(MAX_DOUBLINGS);
        span.scale(0.5 + 0.5 * rng.f64())
    }

    pub(crate) fn reset(&mut self) {
        self.0 = 0;
    }
}
