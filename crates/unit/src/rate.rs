use serde::{Deserialize, Serialize};

/// A number of events per second, in whole thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// A rate of `n` events per second, rounded to thousandths; `None` if `n` is negative, infinite
    /// or not a number.
    pub fn per_second(n: f64) -> Option<Self> {
        let valid = n.is_finite() && n >= 0.0;
        // The cast saturates at the end of the range.
        valid.then(|| Self((n * 1e3).round() as u64))
    }

    /// The number of events per second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}
