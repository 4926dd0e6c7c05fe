use {
    serde::Serialize,
    unit::{Span, Time},
};

/// The longest gap between two departures that is taken into the estimate.
const GAP: Span = Span::secs(1);
const SHARE: f64 = 0.05;

/// The pace at which work leaves while more of it waits.
///
/// Gaps while nothing waits say nothing of what can be borne, and don't count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Drain {
    last: Option<Time>,
    /// Mean microseconds between two departures; zero before the second.
    mean: f64,
}

impl Drain {
    /// Notes that nothing waits: the gap to the next departure doesn't count.
    pub fn rest(&mut self) {
        self.last = None;
    }

    /// Counts a departure.
    pub fn add(&mut self, now: Time) {
        if let Some(last) = self.last {
            let gap = (now - last).min(GAP).as_micros() as f64;
            let share = if self.mean == 0.0 { 1.0 } else { SHARE };
            self.mean += share * (gap - self.mean);
        }
        self.last = Some(now);
    }

    /// How long `n` departures take at the present pace.
    pub fn wait(&self, n: usize) -> Span {
        Span::micros((self.mean * n as f64) as u64)
    }
}
