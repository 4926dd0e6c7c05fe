//! The timers of connections.

use {
    std::{cmp::Reverse, collections::BinaryHeap},
    unit::Time,
};

/// A queue of timers of connections, the earliest first. A timer can't be cancelled; whoever takes
/// it from the queue checks whether it still applies.
#[derive(Debug, Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Time, usize, u64)>>);

impl Timers {
    /// Adds a timer for a connection, given by its key in the slab of connections and its serial
    /// number. The key may be used again by a later connection, the serial number is not.
    pub(crate) fn set(&mut self, at: Time, conn_key: usize, serial: u64) {
        self.0.push(Reverse((at, conn_key, serial)));
    }

    /// When the next timer is due.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.0.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Removes a timer that is due, and returns the key and the serial number of its connection.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<(usize, u64)> {
        if self.next_due()? > now {
            return None;
        }
        self.0
            .pop()
            .map(|Reverse((_, conn_key, serial))| (conn_key, serial))
    }
}
