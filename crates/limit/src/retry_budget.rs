use {
    crate::SlidingWindow,
    unit::{Span, Time},
};

/// The fraction of the fleet's limit that the daemons use together. The rest keeps their sum within
/// the limit when it is checked over windows that start at other moments than theirs.
const MARGIN: f64 = 0.9;

/// One daemon's share of the limit on sending a service's requests to further workers. A *retry*
/// here is any attempt after the first, hedges included.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries per window that the whole fleet may send beyond the ratio.
    extra: f64,
    /// Retries per request.
    ratio: f64,
    retries: SlidingWindow,
    requests: SlidingWindow,
    /// When this process run began. The run before it may have sent up to then all that it had saved
    /// up, so this one sends no retries until a whole window has passed.
    started: Time,
    window: Span,
}

/// What a daemon has used of its share of the limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// The retries that it may send in the window.
    pub allowed: f64,
    /// The number of daemons by which it divides what the fleet may send beyond the ratio; `None`
    /// if it must send none of that.
    pub sharers: Option<usize>,
    /// The retries that it has sent in the window.
    pub used: usize,
}

impl RetryBudget {
    /// The share of a process run that began at `started`, of a limit that allows, in any `window`,
    /// `ratio` retries per request and `extra` more for the whole fleet.
    pub fn new(ratio: f64, extra: f64, window: Span, started: Time) -> Self {
        Self {
            extra,
            ratio,
            retries: SlidingWindow::new(window),
            requests: SlidingWindow::new(window),
            started,
            window,
        }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Time) {
        self.requests.add(now);
    }

    /// Takes a permit for one retry. The permit is granted only while this daemon's retries stay
    /// within `fraction` of its share. `sharers` daemons share the limit; `None` if this one may not
    /// know them all, or they may not count it, so that it must send no extra retries.
    pub fn take_permit(&mut self, now: Time, sharers: Option<usize>, fraction: f64) -> bool {
        let allowed = self.allowed(now, sharers) * fraction;
        let used = self.retries.count(now) as f64;
        if used + 1.0 > allowed {
            return false;
        }
        self.retries.add(now);
        true
    }

    /// Whether this process run is old enough to send retries.
    pub fn is_open(&self, now: Time) -> bool {
        now.since(self.started) >= self.window
    }

    /// What is used of this daemon's share at `now`, with `sharers` as for [`Self::take_permit`].
    pub fn usage(&mut self, now: Time, sharers: Option<usize>) -> RetryUsage {
        RetryUsage {
            allowed: self.allowed(now, sharers),
            sharers,
            used: self.retries.count(now),
        }
    }

    /// The number of retries that this daemon may send in the window up to `now`.
    fn allowed(&mut self, now: Time, sharers: Option<usize>) -> f64 {
        if !self.is_open(now) {
            return 0.0;
        }
        let requests = self.requests.count(now) as f64;
        let extra = sharers.map_or(0.0, |count| self.extra / count.max(1) as f64);
        (self.ratio * requests + extra) * MARGIN
    }
}
