use {
    crate::SlidingWindow,
    unit::{Span, Time},
};

/// The part of the fleet's budget that a daemon spends, so that daemons whose windows are cut at
/// other moments than the judge's stay below it together.
const MARGIN: f64 = 0.9;

/// One daemon's share of the budget for sending a service's requests to further workers.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    extra: f64,
    ratio: f64,
    repeats: SlidingWindow,
    requests: SlidingWindow,
}

impl RetryBudget {
    /// A share of a budget of `ratio` repeats for each request and `extra` beyond, in any `window`.
    pub fn new(ratio: f64, extra: f64, window: Span) -> Self {
        Self {
            extra,
            ratio,
            repeats: SlidingWindow::new(window),
            requests: SlidingWindow::new(window),
        }
    }

    /// Counts a request of a caller's.
    pub fn record_request(&mut self, now: Time) {
        self.requests.add(now);
    }

    /// Takes a permit for one repeat, with `members` daemons sharing the budget, where less than
    /// `part` of the share is used.
    pub fn take_permit(&mut self, now: Time, members: usize, part: f64) -> bool {
        let allowed = self.allowed(now, members) * part;
        let used = self.repeats.count(now) as f64;
        if used + 1.0 > allowed {
            return false;
        }
        self.repeats.add(now);
        true
    }

    fn allowed(&mut self, now: Time, members: usize) -> f64 {
        let requests = self.requests.count(now) as f64;
        let extra = self.extra / members.max(1) as f64;
        (self.ratio * requests + extra) * MARGIN
    }
}
