use unit::Time;

/// The fraction of the fleet's limit that the daemons use together.
const MARGIN: f64 = 0.9;
/// The probes that a daemon may save up for busy times, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;

/// One daemon's share of the health probes per second that a worker may get; a token bucket.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    /// When `tokens` was last refilled.
    refilled_at: Time,
    /// The probes available now; a probe needs a whole one.
    tokens: f64,
}

impl ProbeBudget {
    /// A budget that starts with one probe available.
    pub fn new(now: Time) -> Self {
        Self {
            refilled_at: now,
            tokens: 1.0,
        }
    }

    /// Takes a permit for one probe; `rate` is this daemon's share in probes per second.
    pub fn take_permit(&mut self, now: Time, rate: f64) -> bool {
        let rate = rate * MARGIN;
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let refilled = self.tokens + now.since(self.refilled_at).as_secs() * rate;
        self.refilled_at = now;
        self.tokens = refilled.min(capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
