use {
    bincode::{Decode, Encode},
    serde::Serialize,
};

/// What desks of the same service tell each other.
///
/// Slots are totals, not differences, so that a lost or doubled message does no lasting harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Encode, Decode)]
pub enum Msg {
    /// From a home: the receiver holds so many of the worker's slots from now on.
    Grant {
        /// The worker's life for which the grant is good.
        boot: u64,
        /// Slots in all.
        slots: u32,
        /// The worker.
        worker: String,
    },
    /// To a home: the sender goes on holding so many of the worker's slots.
    Hold {
        /// Slots in all.
        slots: u32,
        /// Whether the sender can't use more of them: it has no connection, or finds the worker
        /// slow.
        unfit: bool,
        /// The worker.
        worker: String,
    },
    /// From a home: the life and state of one of its workers.
    News {
        /// The worker's life.
        boot: u64,
        /// Whether it bears its full load.
        warm: bool,
        /// The worker.
        worker: String,
    },
    /// To a home: a connection to the worker failed or showed another life.
    Suspect {
        /// The worker.
        worker: String,
    },
    /// To a home: the sender lacks so many slots.
    Want {
        /// How long its oldest request has waited, in microseconds.
        age: u64,
        /// Slots that it lacks.
        slots: u32,
    },
}
