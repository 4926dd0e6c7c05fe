//! The limit on retries as the users check it: in any window, over all daemons.

use {
    conf::Bounds,
    unit::{Span, Time},
};

/// The requests of callers and the attempts beyond the first of each, in the order of their times.
#[derive(Debug, Default)]
pub(crate) struct RetryRule {
    pub(crate) repeats: Vec<Time>,
    pub(crate) requests: Vec<Time>,
}

impl RetryRule {
    /// Checks every window that begins with a repeat. The requests are those of the window, of the
    /// one before or of the one half a window before, whichever are the most.
    pub(crate) fn check(&self, bounds: &Bounds) {
        let window = bounds.retry_window;
        for begin in self.repeats.iter().copied() {
            let repeats = count(&self.repeats, begin, window);
            let starts = [Span::ZERO, window / 2, window];
            let requests = starts.map(|before| {
                count(
                    &self.requests,
                    Time::at(begin.since(Time::ZERO).saturating_sub(before)),
                    window,
                )
            });
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = bounds.retry_ratio * requests as f64 + bounds.retry_extra;
            assert!(
                repeats as f64 <= allowed,
                "{repeats} repeats of {requests} requests in the window from {begin:?}"
            );
        }
    }
}

/// How many of `times` lie in the window that begins at `begin`.
fn count(times: &[Time], begin: Time, window: Span) -> usize {
    let index = |at: Time| times.partition_point(|time| *time < at);
    index(begin + window) - index(begin)
}
