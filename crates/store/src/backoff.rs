use {fastrand::Rng, unit::Span};

const FIRST_DELAY: Span = Span::millis(250);
const MAX_DELAY: Span = Span::millis(1_500);
const MAX_DOUBLINGS: u32 = 4;

/// Exponential backoff with jitter; holds the number of doublings of the delay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff(u32);

impl Backoff {
    /// The delay before the next call: random, between half of the current backoff and all of it.
    pub(crate) fn next(&mut self, rng: &mut Rng) -> Span {
        let delay = (FIRST_DELAY * (1 << self.0)).min(MAX_DELAY);
        self.0 = (self.0 + 1).min(MAX_DOUBLINGS);
        delay.scale(0.5 + 0.5 * rng.f64())
    }

    pub(crate) fn reset(&mut self) {
        self.0 = 0;
    }
}
