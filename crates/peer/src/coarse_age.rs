use {
    serde::{Deserialize, Serialize},
    unit::Span,
};

/// The step in which ages are told, in microseconds.
const STEP: u64 = 50_000;

/// How long ago something was, in one byte. Rounded up, so that news that is passed on and on never
/// grows younger; the longest stands for anything longer too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoarseAge(u8);

impl CoarseAge {
    /// The age that is told for a span.
    pub fn new(span: Span) -> Self {
        let steps = span.as_micros().div_ceil(STEP);
        Self(u8::try_from(steps).unwrap_or(u8::MAX))
    }

    /// The span that it stands for.
    pub fn span(self) -> Span {
        Span::micros(u64::from(self.0) * STEP)
    }
}
