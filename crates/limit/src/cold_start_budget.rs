use {
    crate::SlidingWindow,
    unit::{Span, Time},
};

/// The length of the window in which the requests to a cold worker are counted: one second, plus
/// the time by which two requests may move closer together in transit.
pub const COLD_START_WINDOW: Span = Span::millis(1_150);
/// The fraction of the fleet's limit that the daemons use together. The rest covers moments in
/// which their views of the membership differ.
const MARGIN: f64 = 0.9;

/// The position of this daemon among the daemons that share a limit, as it sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// The number of registered daemons, alive or not.
    pub count: usize,
    /// This daemon's index among them, from 0, in an order that all daemons compute alike.
    pub rank: usize,
}

/// One daemon's share of the requests per second that a worker may get during its cold start.
#[derive(Clone, Debug)]
pub struct ColdStartBudget {
    /// The requests that were sent, or that a permit was taken for.
    sent: SlidingWindow,
}

impl Default for ColdStartBudget {
    fn default() -> Self {
        Self {
            sent: SlidingWindow::new(COLD_START_WINDOW),
        }
    }
}

impl ColdStartBudget {
    /// Whether one more request may be sent now, where `fleet_limit` is the number of requests per
    /// second that the worker may get from all daemons together.
    pub fn admits(&mut self, now: Time, fleet_limit: f64, position: FleetPosition) -> bool {
        self.sent.count(now) < allowance(fleet_limit, position)
    }

    /// Removes a request that was recorded at `at` and not sent.
    pub fn remove(&mut self, at: Time) {
        self.sent.remove(at);
    }

    /// Records a request that is sent, or that a permit is taken for.
    pub fn record(&mut self, now: Time) {
        self.sent.add(now);
    }
}

/// The number of requests in one window for this daemon. The limit less its margin, rounded down to
/// whole requests, is divided evenly; the remainder goes to the lowest ranks, one request each.
fn allowance(fleet_limit: f64, position: FleetPosition) -> usize {
    let total = (fleet_limit * MARGIN) as usize;
    let count = position.count.max(1);
    total / count + usize::from(position.rank < total % count)
}
