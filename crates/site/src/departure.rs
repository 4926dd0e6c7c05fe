//! Workers whose entry in the store was removed.

use {
    crate::Worker,
    serde::{Deserialize, Serialize},
    unit::{Span, Time},
};

/// The fraction of the drain time for which a worker whose entry lapsed stays in use. The rest is
/// for the time that the removal takes to become known to the last daemon.
const LAPSED_FRACTION: f64 = 0.85;
/// The same for a worker that has left and whose entry won't return.
const LEFT_FRACTION: f64 = 0.25;

/// Why a worker's entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// The entry was removed during or shortly after a failure of the store, so the worker may
    /// still run and register again.
    Lapsed,
    /// The entry was removed while the store was healthy.
    Left,
}

impl Departure {
    /// How long a ready worker may still get requests after its entry was removed. `drain` is the
    /// longest time for which a leaving worker may get requests.
    pub fn grace(self, drain: Span) -> Span {
        match self {
            Self::Lapsed => drain.scale(LAPSED_FRACTION),
            Self::Left => drain.scale(LEFT_FRACTION),
        }
    }
}

/// A worker whose entry was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartedWorker {
    /// When this process learned of the removal.
    pub at: Time,
    /// Why the entry was removed.
    pub departure: Departure,
    /// The worker's last entry.
    pub worker: Worker,
}
