use {
    std::collections::VecDeque,
    unit::{Span, Time},
};

/// Counts events in a window of fixed length that ends now.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    /// The times of the events, oldest first.
    events: VecDeque<Time>,
    /// The length of the window.
    span: Span,
}

impl SlidingWindow {
    /// An empty window of length `span`.
    pub fn new(span: Span) -> Self {
        Self {
            events: VecDeque::new(),
            span,
        }
    }

    /// Adds an event that happens now.
    pub fn add(&mut self, now: Time) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// Removes one event that was added at `at`, if it is still in the window.
    pub fn remove(&mut self, at: Time) {
        if let Some(index) = self.events.iter().rposition(|event| *event == at) {
            self.events.remove(index);
        }
    }

    /// The time of the latest event, if one is in the window.
    pub fn latest(&self) -> Option<Time> {
        self.events.back().copied()
    }

    /// The time of the event that `index` later events follow, if it is kept.
    pub fn nth_latest(&self, index: usize) -> Option<Time> {
        self.events.iter().rev().nth(index).copied()
    }

    /// Changes the length of the window. Events that have left the window before stay forgotten.
    pub fn set_span(&mut self, span: Span) {
        self.span = span;
    }

    /// The number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Time) -> usize {
        self.expire(now);
        self.events.len()
    }

    /// Drops events that have left the window.
    fn expire(&mut self, now: Time) {
        while self
            .events
            .front()
            .is_some_and(|at| now.since(*at) >= self.span)
        {
            self.events.pop_front();
        }
    }
}
