use {
    crate::SlidingWindow,
    unit::{Span, Time},
};

/// The fraction of the fleet's budget that the daemons use together. The rest keeps their sum
/// within the budget when it is checked over windows that start at other moments than theirs.
const MARGIN: f64 = 0.9;

/// One daemon's share of the budget for sending a service's requests to further workers, as a retry
/// or a hedge.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    extra: f64,
    ratio: f64,
    retries: SlidingWindow,
    requests: SlidingWindow,
}

impl RetryBudget {
    /// A share of a budget that allows, in any `window`, `ratio` retries per request and `extra`
    /// more for the whole fleet.
    pub fn new(ratio: f64, extra: f64, window: Span) -> Self {
        Self {
            extra,
            ratio,
            retries: SlidingWindow::new(window),
            requests: SlidingWindow::new(window),
        }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Time) {
        self.requests.add(now);
    }

    /// Takes a permit for one retry, with `members` daemons sharing the budget. The permit is
    /// granted only while this daemon's retries stay within the fraction `part` of its share.
    pub fn take_permit(&mut self, now: Time, members: usize, part: f64) -> bool {
        let allowed = self.allowed(now, members) * part;
        let used = self.retries.count(now) as f64;
        if used + 1.0 > allowed {
            return false;
        }
        self.retries.add(now);
        true
    }

    /// The number of retries that this daemon may send in the window up to `now`.
    fn allowed(&mut self, now: Time, members: usize) -> f64 {
        let requests = self.requests.count(now) as f64;
        let extra = self.extra / members.max(1) as f64;
        (self.ratio * requests + extra) * MARGIN
    }
}
