use {
    serde::Serialize,
    std::collections::VecDeque,
    unit::{Span, Time},
};

/// Added to the window's length for the way between the check and the far end's own count.
const MARGIN: Span = Span::millis(100);

/// At most a number of events in every window of one second, wherever it begins.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Times of the events that still count, oldest first; never more than `most`.
    events: VecDeque<Time>,
    most: usize,
}

impl Window {
    /// Allows `most` events a second.
    pub fn new(most: u32) -> Self {
        Self {
            events: VecDeque::new(),
            most: most as usize,
        }
    }

    /// Whether an event is allowed at `now`.
    pub fn open(&mut self, now: Time) -> bool {
        let length = Span::secs(1) + MARGIN;
        while self.events.front().is_some_and(|at| now - *at >= length) {
            self.events.pop_front();
        }
        self.events.len() < self.most
    }

    /// Counts an event if it is allowed.
    pub fn take(&mut self, now: Time) -> bool {
        let open = self.open(now);
        if open {
            self.events.push_back(now);
        }
        open
    }

    /// Counts as many events as are allowed: somebody else may just have used them all.
    pub fn fill(&mut self, now: Time) {
        self.events.clear();
        self.events.extend(std::iter::repeat_n(now, self.most));
    }

    /// Changes the number allowed.
    pub fn resize(&mut self, most: u32) {
        self.most = most as usize;
    }
}
