use {fastrand::Rng, unit::Span};

/// Exponential backoff with full jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Span,
    most: Span,
    tries: u32,
}

impl Backoff {
    /// Waits between nothing and `base` first, doubling up to `most`.
    pub fn new(base: Span, most: Span) -> Self {
        Self {
            base,
            most,
            tries: 0,
        }
    }

    /// How long to wait before the next try.
    pub fn next(&mut self, rng: &mut Rng) -> Span {
        let bound = (self.base * (1 << self.tries.min(20))).min(self.most);
        self.tries += 1;
        Span::micros(rng.u64(0..=bound.as_micros()))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
