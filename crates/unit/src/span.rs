use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, Div, Mul},
        time::Duration,
    },
};

/// A length of time in whole microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash,
)]
pub struct Span(u64);

impl Span {
    /// The empty span.
    pub const ZERO: Self = Self(0);

    /// A span of `n` microseconds.
    pub const fn micros(n: u64) -> Self {
        Self(n)
    }

    /// A span of `n` milliseconds.
    pub const fn millis(n: u64) -> Self {
        Self(n.saturating_mul(1_000))
    }

    /// A span of `n` seconds.
    pub const fn secs(n: u64) -> Self {
        Self::millis(n.saturating_mul(1_000))
    }

    /// A span of `seconds`, rounded to microseconds; zero if `seconds` is negative.
    pub fn from_secs(seconds: f64) -> Self {
        // The cast saturates at both ends of the range.
        Self((seconds * 1e6).round() as u64)
    }

    /// This span multiplied by `factor`, which is zero or more.
    pub fn scale(self, factor: f64) -> Self {
        Self::from_secs(self.as_secs() * factor)
    }

    /// The span in whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This span minus `other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Mul<u64> for Span {
    type Output = Self;

    fn mul(self, n: u64) -> Self {
        Self(self.0.saturating_mul(n))
    }
}

impl Div<u64> for Span {
    type Output = Self;

    fn div(self, n: u64) -> Self {
        Self(self.0 / n.max(1))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<Duration> for Span {
    fn from(time: Duration) -> Self {
        Self(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }
}
