use unit::Time;

/// The part of the fleet's bound that the daemons spend together.
const MARGIN: f64 = 0.9;
/// The health requests that a share may save up for busy times, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;

/// One daemon's share of the health requests that a worker may get in a second.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    at: Time,
    saved: f64,
}

impl ProbeBudget {
    /// A share that begins with one request saved.
    pub fn new(now: Time) -> Self {
        Self {
            at: now,
            saved: 1.0,
        }
    }

    /// Takes a permit for one health request at a share of `rate` requests a second.
    pub fn take_permit(&mut self, now: Time, rate: f64) -> bool {
        let rate = rate * MARGIN;
        let most = (rate * BURST_SECONDS).max(1.0);
        let grown = self.saved + now.since(self.at).as_secs() * rate;
        self.at = now;
        self.saved = grown.min(most);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
