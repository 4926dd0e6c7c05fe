use serde::Serialize;

/// The share of a new lower value in the estimate.
const FALL: f64 = 0.125;

/// An estimate that rises at once and falls slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Estimate {
    count: u32,
    value: f64,
}

impl Estimate {
    /// Takes a new value. A rise counts at once in half, so that one odd value is not a verdict.
    pub fn add(&mut self, value: f64) {
        let share = match self.count {
            0 => 1.0,
            _ if value > self.value => 0.5,
            _ => FALL,
        };
        self.value += share * (value - self.value);
        self.count = self.count.saturating_add(1);
    }

    /// The estimate, or `default` before the first value.
    pub fn get(&self, default: f64) -> f64 {
        if self.count == 0 { default } else { self.value }
    }

    /// The number of values taken.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Forgets all values.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
