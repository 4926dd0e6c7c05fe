use {
    serde::Serialize,
    unit::{Span, Time},
};

/// At most one event in every interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Pace {
    every: Span,
    /// The earliest time of the next event.
    next: Time,
}

impl Pace {
    /// Allows one event each `every`; the first only after `every` from `now`, since an earlier
    /// life of this process may just have had one.
    pub fn new(now: Time, every: Span) -> Self {
        Self {
            every,
            next: now + every,
        }
    }

    /// Whether an event is allowed at `now`.
    pub fn open(&self, now: Time) -> bool {
        now >= self.next
    }

    /// Counts an event if it is allowed.
    pub fn take(&mut self, now: Time) -> bool {
        let open = self.open(now);
        if open {
            self.next = now + self.every;
        }
        open
    }

    /// Changes the interval; a longer one also counts from the last event.
    pub fn resize(&mut self, every: Span) {
        self.next = self.next + every.less(self.every);
        self.every = every;
    }
}
