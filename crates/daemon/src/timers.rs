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

    /// Removes the timers that are due, and returns the keys and serial numbers of their connections.
    /// A timer that is set while these are handled is due in the next turn at the earliest, so that
    /// no handler keeps the others waiting.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<(usize, u64)> {
        let mut due = Vec::new();
        while let Some(Reverse((at, conn_key, serial))) = self.0.peek().copied()
            && at <= now
        {
            self.0.pop();
            due.push((conn_key, serial));
        }
        due
    }
}
