use {
    conf::QuotaBounds,
    unit::{Rate, Span},
};

/// How long after it was requested a token may be used. The tokens of this time count against the
/// bound of each window; a request waits for tokens for a shorter time.
pub const VALIDITY: Span = Span::millis(200);
/// The fraction of what exceeds the quota that isn't handed out. It covers short differences between
/// the daemons' views of the membership, and time between admission and sending.
const MARGIN: f64 = 0.05;
/// The fraction of the rest by which the bucket refills faster than the rate. Callers that come at
/// random, at the whole rate on average, would else empty any bucket from time to time.
const RATE_FRACTION: f64 = 0.4;
/// The most by which it refills faster: a fraction of the rate, and requests per second. Low rates
/// need the latter, so that a bucket that is empty after a change of the grantor has a token soon.
const MAX_FASTER: (f64, f64) = (0.1, 0.3);
/// The fraction of what is then left that is divided among the daemons as their reserves.
const RESERVE_FRACTION: f64 = 0.15;

/// What the daemons may take from an account, derived from its quota so that the sum stays within
/// the bound of a window:
///
/// `refill_rate * (window + VALIDITY) + capacity + reserve <= (rate * window + burst) * (1 +
/// overshoot) + slack`
///
/// Tokens granted in a window and in the `VALIDITY` before may all be used within the window. A
/// change of the grantor adds nothing, since the new one's bucket starts empty and it grants only
/// after the old one's last grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The capacity of the grantor's bucket, in tokens.
    pub capacity: f64,
    /// The tokens per second that the grantor's bucket gains.
    pub refill_rate: f64,
    /// The requests in any window that the daemons may admit without tokens, all together.
    pub reserve: usize,
}

impl Allowance {
    /// The allowance of an account with this rate and burst.
    pub fn new(rate: Rate, burst: u32, bounds: &QuotaBounds) -> Self {
        let window = bounds.window.as_secs();
        let usable = window + VALIDITY.as_secs();
        let (rate, burst) = (rate.as_per_second(), f64::from(burst));
        let bound = (rate * window + burst) * (1.0 + bounds.overshoot) + bounds.slack;
        let excess = (bound - rate * usable - burst).max(0.0);
        let free = excess * (1.0 - MARGIN);
        let faster = (free * RATE_FRACTION / usable).min(rate * MAX_FASTER.0 + MAX_FASTER.1);
        let refill_rate = (rate + faster).min(bound / usable);
        let reserve = ((free - faster * usable) * RESERVE_FRACTION).floor();
        let capacity = bound - refill_rate * usable - excess * MARGIN - reserve;
        if capacity >= 1.0 {
            return Self {
                capacity,
                refill_rate,
                reserve: reserve as usize,
            };
        }
        // A bound so tight leaves room for no more than single tokens, at a lower rate.
        Self {
            capacity: bound.min(1.0),
            refill_rate: (bound - 1.0).max(0.0) / usable,
            reserve: 0,
        }
    }

    /// The most requests that are admitted in any window of this length.
    pub fn most_in(&self, window: Span) -> f64 {
        let granted = self.refill_rate * (window + VALIDITY).as_secs() + self.capacity;
        granted + self.reserve as f64
    }

    /// The lower of two allowances in each part, for accounts that share a bucket.
    pub(crate) fn lower(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.min(other.capacity),
            refill_rate: self.refill_rate.min(other.refill_rate),
            reserve: self.reserve.min(other.reserve),
        }
    }
}
