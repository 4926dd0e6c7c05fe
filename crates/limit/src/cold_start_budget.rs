use {
    crate::SlidingWindow,
    unit::{Span, Time},
};

/// The span within which a cold worker's requests are bounded: a second, and the time by which two
/// sends may come closer together on their way.
const SPAN: Span = Span::millis(1_150);
/// The part of the bound that the daemons spend together; the rest covers views of the membership
/// that differ for a moment.
const MARGIN: f64 = 0.9;

/// The daemons that share a bound, as this daemon sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// How many daemons are registered, alive or not.
    pub count: usize,
    /// This daemon's place among them in an order that all daemons compute alike.
    pub rank: usize,
}

/// One daemon's share of what a cold worker may get in a second.
#[derive(Clone, Debug)]
pub struct ColdStartBudget {
    sent: SlidingWindow,
}

impl Default for ColdStartBudget {
    fn default() -> Self {
        Self {
            sent: SlidingWindow::new(SPAN),
        }
    }
}

impl ColdStartBudget {
    /// Whether one more request may be sent now, with `bound` requests a second for the fleet.
    pub fn admits(&mut self, now: Time, bound: f64, peers: FleetPosition) -> bool {
        self.sent.count(now) < allowance(bound, peers)
    }

    /// Takes back a request that was counted at a moment and not sent.
    pub fn remove(&mut self, at: Time) {
        self.sent.remove(at);
    }

    /// Counts a request.
    pub fn record(&mut self, now: Time) {
        self.sent.add(now);
    }
}

/// The whole requests of the bound are dealt one after another in the order of the ranks.
fn allowance(bound: f64, peers: FleetPosition) -> usize {
    let total = (bound * MARGIN) as usize;
    let count = peers.count.max(1);
    total / count + usize::from(peers.rank < total % count)
}
