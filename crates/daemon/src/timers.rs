use {
    std::{cmp::Reverse, collections::BinaryHeap},
    unit::Time,
};

/// The moments at which something is due on connections.
#[derive(Debug, Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Time, usize, u64)>>);

impl Timers {
    /// Sets a timer for a connection, by its place and serial number.
    pub(crate) fn set(&mut self, at: Time, place: usize, serial: u64) {
        self.0.push(Reverse((at, place, serial)));
    }

    /// The next moment.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.0.peek().map(|Reverse((at, _, _))| *at)
    }

    /// A timer that is due.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<(usize, u64)> {
        if self.next_due()? > now {
            return None;
        }
        self.0
            .pop()
            .map(|Reverse((_, place, serial))| (place, serial))
    }
}
