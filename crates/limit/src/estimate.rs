use serde::Serialize;

/// The values of which the estimate is about a mean.
const MEMORY: u32 = 8;
/// The logarithm of the ratio from which on something is slow.
const SLOW: f64 = 1.0;
/// The logarithm of the ratio below which something slow is so no more.
const USUAL: f64 = 0.4;

/// A moving mean of how much longer than usual something takes, in logarithms.
///
/// Logarithms keep single long answers, which healthy workers have as well, from looking like a
/// slow worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Estimate {
    count: u32,
    slow: bool,
    value: f64,
}

impl Estimate {
    /// Takes the ratio of a time to the usual time; above 0.
    pub fn add(&mut self, ratio: f64) {
        self.count = self.count.saturating_add(1);
        let share = 1.0 / f64::from(self.count.min(MEMORY));
        self.value += share * (ratio.max(1e-3).ln() - self.value);
        if self.count >= MEMORY / 2 {
            self.slow = self.value > if self.slow { USUAL } else { SLOW };
        }
    }

    /// The ratio, 1 before the first value.
    pub fn ratio(&self) -> f64 {
        self.value.exp()
    }

    /// Whether it takes much longer than usual.
    pub fn slow(&self) -> bool {
        self.slow
    }

    /// Forgets all values.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
