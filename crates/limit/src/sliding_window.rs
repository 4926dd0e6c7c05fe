use {
    std::collections::VecDeque,
    unit::{Span, Time},
};

/// Counts events in the span before the present moment.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    /// The moments of the events, oldest first.
    events: VecDeque<Time>,
    span: Span,
}

impl SlidingWindow {
    /// An empty window of a length.
    pub fn new(span: Span) -> Self {
        Self {
            events: VecDeque::new(),
            span,
        }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Time) {
        self.forget(now);
        self.events.push_back(now);
    }

    /// Takes back an event that was counted at a moment.
    pub fn remove(&mut self, at: Time) {
        if let Some(place) = self.events.iter().rposition(|event| *event == at) {
            self.events.remove(place);
        }
    }

    /// How many events lie in the window.
    pub fn count(&mut self, now: Time) -> usize {
        self.forget(now);
        self.events.len()
    }

    fn forget(&mut self, now: Time) {
        while self
            .events
            .front()
            .is_some_and(|at| now.since(*at) >= self.span)
        {
            self.events.pop_front();
        }
    }
}
