use {crate::MedianEstimate, site::Load, unit::Span};

/// The pace in percent from which on a machine counts as slow.
pub(crate) const SLOW_PACE: u32 = 150;
/// How many times as long work is first believed to take on a slow machine.
const FIRST_FACTOR: f64 = 3.0;

/// The time that a kind of work takes. A machine that is slow when work begins may be at its usual
/// pace again before the work ends, so the time on slow machines is followed by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyEstimate {
    slow: MedianEstimate,
    usual: MedianEstimate,
}

impl LatencyEstimate {
    /// Starts from a guess.
    pub fn new(guess: Span) -> Self {
        Self {
            slow: MedianEstimate::new(guess.scale(FIRST_FACTOR)),
            usual: MedianEstimate::new(guess),
        }
    }

    /// The typical time on a machine at its usual pace.
    pub const fn baseline(&self) -> Span {
        self.usual.span()
    }

    /// The typical time that begins under a load.
    pub fn for_load(&self, load: Option<Load>) -> Span {
        match load {
            Some(load) if load.pace >= SLOW_PACE => self.slow.span().max(self.usual.span()),
            Some(load) => self.usual.span().scale(f64::from(load.pace) / 100.0),
            None => self.usual.span(),
        }
    }

    /// Takes in how long work took that began under a load.
    pub fn record(&mut self, load: Option<Load>, took: Span) {
        match load {
            Some(load) if load.pace >= SLOW_PACE => self.slow.record(took),
            Some(load) => self
                .usual
                .record(took.scale(100.0 / f64::from(load.pace.max(1)))),
            None => self.usual.record(took),
        }
    }
}
