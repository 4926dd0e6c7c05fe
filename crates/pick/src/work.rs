use {crate::Typical, site::LoadReport, unit::Span};

/// The pace in percent from which on a machine counts as slow.
pub(crate) const SLOW_PACE: u32 = 150;
/// How many times as long work is first believed to take on a slow machine.
const FIRST_FACTOR: f64 = 3.0;

/// The time that a kind of work takes. A machine that is slow when work begins may be at its usual
/// pace again before the work ends, so the time on slow machines is followed by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    slow: Typical,
    usual: Typical,
}

impl Work {
    /// Starts from a guess.
    pub fn new(guess: Span) -> Self {
        Self {
            slow: Typical::new(guess.scale(FIRST_FACTOR)),
            usual: Typical::new(guess),
        }
    }

    /// The typical time on a machine at its usual pace.
    pub const fn usual(&self) -> Span {
        self.usual.span()
    }

    /// The typical time that begins under a load.
    pub fn under(&self, load: Option<LoadReport>) -> Span {
        match load {
            Some(load) if load.latency_percent >= SLOW_PACE => {
                self.slow.span().max(self.usual.span())
            }
            Some(load) => self
                .usual
                .span()
                .scale(f64::from(load.latency_percent) / 100.0),
            None => self.usual.span(),
        }
    }

    /// Takes in how long work took that began under a load.
    pub fn add(&mut self, load: Option<LoadReport>, took: Span) {
        match load {
            Some(load) if load.latency_percent >= SLOW_PACE => self.slow.add(took),
            Some(load) => self
                .usual
                .add(took.scale(100.0 / f64::from(load.latency_percent.max(1)))),
            None => self.usual.add(took),
        }
    }
}
