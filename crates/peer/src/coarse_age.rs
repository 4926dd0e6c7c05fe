use {
    serde::{Deserialize, Serialize},
    unit::Span,
};

/// The resolution of a [`CoarseAge`], in microseconds.
const STEP_MICROS: u64 = 50_000;

/// An age in one byte, in steps of 50 ms.
///
/// It is rounded up, so that information that is passed on repeatedly never appears younger than it
/// is. The largest value, 12.75 s, also stands for all longer ages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoarseAge(u8);

impl CoarseAge {
    /// Rounds `span` up to whole steps.
    pub fn new(span: Span) -> Self {
        let steps = span.as_micros().div_ceil(STEP_MICROS);
        Self(u8::try_from(steps).unwrap_or(u8::MAX))
    }

    /// The age as a span.
    pub fn span(self) -> Span {
        Span::micros(u64::from(self.0) * STEP_MICROS)
    }
}
