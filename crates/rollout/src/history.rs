//! What the counts of a rollout were some time ago.

use {
    crate::Evidence,
    std::collections::VecDeque,
    unit::{Span, Time},
};

/// The time between two copies of the counts.
const STEP: Span = Span::secs(1);
/// The times over which counts are compared, besides the whole rollout: a fault that begins late
/// would be lost among the good responses before it.
const WINDOWS: [Span; 2] = [Span::secs(4), Span::secs(15)];

/// Copies of the counts of the last seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct History(VecDeque<(Time, Evidence)>);

impl History {
    /// Keeps a copy of the counts once in each [`STEP`].
    pub(crate) fn record(&mut self, now: Time, all: &Evidence) {
        if self.0.back().is_some_and(|(at, _)| now.since(*at) < STEP) {
            return;
        }
        let longest = WINDOWS[1] + STEP;
        while self
            .0
            .front()
            .is_some_and(|(at, _)| now.since(*at) > longest)
        {
            self.0.pop_front();
        }
        self.0.push_back((now, all.clone()));
    }

    /// The counts of each window.
    pub(crate) fn windows(&self, now: Time, all: &Evidence) -> Vec<Evidence> {
        let recent = |window: &Span| {
            let mut copies = self.0.iter();
            let start = copies.find(|(at, _)| now.since(*at) <= *window)?;
            Some(all.since(&start.1))
        };
        WINDOWS.iter().filter_map(recent).collect()
    }
}
