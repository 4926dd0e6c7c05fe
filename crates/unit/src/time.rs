use {
    crate::Span,
    serde::{Deserialize, Serialize},
    std::ops::{Add, Sub},
};

/// A point in time on one process's monotonic clock, in microseconds since the clock's origin.
///
/// Times of different processes can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash,
)]
pub struct Time(u64);

impl Time {
    /// The clock's origin.
    pub const ZERO: Self = Self(0);

    /// The time that lies `span` after the clock's origin.
    pub const fn at(span: Span) -> Self {
        Self(span.as_micros())
    }

    /// The span from `earlier` to this time, or zero if `earlier` is the later one.
    pub const fn since(self, earlier: Self) -> Span {
        Span::micros(self.0.saturating_sub(earlier.0))
    }

    /// This time minus `span`, but no earlier than the origin.
    pub const fn saturating_sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.as_micros()))
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.as_micros()))
    }
}

impl Sub<Self> for Time {
    type Output = Span;

    fn sub(self, earlier: Self) -> Span {
        self.since(earlier)
    }
}
