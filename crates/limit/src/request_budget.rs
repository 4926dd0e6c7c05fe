use {
    crate::SlidingWindow,
    unit::{Rate, Span, Time},
};

/// The least time over which the requests to a worker are counted.
const MIN_WINDOW: Span = Span::secs(4);
/// The longest one; a worker whose limit is lower than one request in it gets one.
const MAX_WINDOW: Span = Span::secs(60);
/// The least number of requests in a window. The window of a low limit is longer, so that whole
/// requests come close to the limit.
const MIN_REQUESTS: f64 = 4.0;
/// The time by which two requests may move closer together in transit.
const TRANSIT: Span = Span::millis(150);
/// The longest time for which a request counts.
pub const MAX_COUNTED: Span = Span::micros(MAX_WINDOW.as_micros() + TRANSIT.as_micros());
/// The fraction of a worker's limit that is for the daemons of its own data centre; the daemons
/// elsewhere share the rest.
pub const LOCAL_FRACTION: f64 = 0.6;
/// The mean time between two requests to a worker from the daemons that have no share of its limit.
/// They learn by these requests that the limit has ended.
const TRIAL_GAP: Span = Span::secs(2);

/// This daemon's place among the registered daemons that share a worker's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Whether this daemon is in the worker's data centre.
    pub is_local: bool,
    /// The number of daemons in the worker's data centre.
    pub local: usize,
    /// This daemon's index, from 0, among those of the worker's data centre or those elsewhere, in
    /// an order that all daemons compute alike.
    pub rank: usize,
    /// The number of daemons elsewhere.
    pub remote: usize,
}

/// A limit on the requests per second that a worker takes from all daemons together, and this
/// daemon's share of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Share {
    /// The mean time between two requests of the fleet.
    gap: Span,
    /// The requests of this daemon in one window.
    requests: usize,
    /// How long after it was last told of the limit a daemon without a share sends one request.
    trial_after: Span,
    /// The window; at least [`MIN_WINDOW`] and [`TRANSIT`] together.
    window: Span,
}

/// The requests that one daemon sends to a worker, and its share of the limit that the worker
/// names, if any.
#[derive(Clone, Debug)]
pub struct RequestBudget {
    sent: SlidingWindow,
    share: Option<Share>,
    /// When this process run began. The run before it may have used its share up to then, so this
    /// one uses none until a whole window has passed.
    started: Time,
    /// When the worker last named its limit.
    told_at: Time,
}

impl RequestBudget {
    /// The budget of a process run that began at `started`, for a worker that names no limit.
    pub fn new(started: Time) -> Self {
        Self {
            sent: SlidingWindow::new(MIN_WINDOW + TRANSIT),
            share: None,
            started,
            told_at: Time::ZERO,
        }
    }

    /// The budget for a new process run of the worker, which has named no limit. What was sent lately
    /// may have reached that run already.
    #[must_use]
    pub fn for_new_run(&self) -> Self {
        let mut sent = self.sent.clone();
        sent.set_span(MIN_WINDOW + TRANSIT);
        Self {
            sent,
            ..Self::new(self.started)
        }
    }

    /// Sets the limit that the worker names, or `None` if it names none.
    pub fn set_limit(&mut self, limit: Option<Rate>, placement: Placement) {
        self.share = limit.map(|limit| Share::new(limit, placement));
        let window = self
            .share
            .map_or(MIN_WINDOW + TRANSIT, |share| share.window);
        self.sent.set_span(window);
    }

    /// Records that the worker named its limit once more.
    pub fn confirm(&mut self, now: Time) {
        self.told_at = now;
    }

    /// When the next request may be sent, which is `now` or earlier if one may be sent now.
    pub fn next_opening(&self, now: Time) -> Time {
        let Some(share) = self.share else {
            return now;
        };
        if share.requests == 0 {
            let last = self.sent.latest().unwrap_or_default();
            return self.told_at.max(last) + share.trial_after;
        }
        let oldest = self.sent.nth_latest(share.requests - 1);
        let opening = oldest.map_or(now, |at| at + share.window);
        opening.max(self.started + share.window)
    }

    /// When some daemon of the fleet may likely send the next request.
    pub fn fleet_opening(&self, now: Time) -> Time {
        let own = self.next_opening(now);
        self.share.map_or(own, |share| own.min(now + share.gap))
    }

    /// Records a request that is sent.
    pub fn record(&mut self, now: Time) {
        self.sent.add(now);
    }
}

impl Share {
    fn new(limit: Rate, placement: Placement) -> Self {
        let rate = limit.as_per_second();
        let window = Span::from_secs(MIN_REQUESTS / rate).clamp(MIN_WINDOW, MAX_WINDOW);
        // Rounded first, as the product of a window and its rate may lie just above a whole number.
        let total = (rate * window.as_secs() * 1e3).round() / 1e3;
        let daemons = placement.local + placement.remote;
        Self {
            gap: Span::from_secs(1.0 / rate).min(MAX_WINDOW),
            requests: placement.share_of(total.ceil() as usize),
            trial_after: TRIAL_GAP * (daemons + placement.rank) as u64,
            window: window + TRANSIT,
        }
    }
}

impl Placement {
    /// This daemon's share of a number of requests. The parts of the worker's data centre and of
    /// the others are divided evenly; their remainders go to the lowest ranks, one request each.
    fn share_of(self, total: usize) -> usize {
        let local_total = match (self.local, self.remote) {
            (0, _) => 0,
            (_, 0) => total,
            _ => (total as f64 * LOCAL_FRACTION).ceil() as usize,
        };
        let (part, count) = if self.is_local {
            (local_total, self.local)
        } else {
            (total - local_total, self.remote)
        };
        let count = count.max(1);
        part / count + usize::from(self.rank < part % count)
    }
}
