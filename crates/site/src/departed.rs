use {
    crate::Worker,
    serde::{Deserialize, Serialize},
    unit::{Span, Time},
};

/// Why a worker's entry went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// It went while the store was in trouble, so the worker may live and come back.
    Lapsed,
    /// It was taken away while the store was well.
    Left,
}

impl Departure {
    /// How long a worker that was ready may still be used after its entry went.
    pub const fn grace(self) -> Span {
        match self {
            Self::Lapsed => Span::millis(2_500),
            Self::Left => Span::millis(500),
        }
    }
}

/// A worker whose entry is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departed {
    /// When this process learned of it.
    pub at: Time,
    /// Why it went.
    pub departure: Departure,
    /// Its last entry.
    pub worker: Worker,
}
