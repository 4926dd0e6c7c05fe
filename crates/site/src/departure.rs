use {
    crate::Worker,
    serde::{Deserialize, Serialize},
    unit::{Span, Time},
};

/// How much of the time to drain a worker is used whose entry may come back. The rest covers the way
/// of the news to the last daemon.
const LAPSED_PART: f64 = 0.85;
/// The same for a worker whose entry won't come back.
const LEFT_PART: f64 = 0.25;

/// Why a worker's entry went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// It went while the store was in trouble, so the worker may live and come back.
    Lapsed,
    /// It was taken away while the store was well.
    Left,
}

impl Departure {
    /// How long a worker that was ready may still be used after its entry went, where one that
    /// leaves may get work for the span `drain`.
    pub fn grace(self, drain: Span) -> Span {
        match self {
            Self::Lapsed => drain.scale(LAPSED_PART),
            Self::Left => drain.scale(LEFT_PART),
        }
    }
}

/// A worker whose entry is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartedWorker {
    /// When this process learned of it.
    pub at: Time,
    /// Why it went.
    pub departure: Departure,
    /// Its last entry.
    pub worker: Worker,
}
