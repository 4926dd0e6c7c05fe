use unit::Time;

/// The time over which the demand is averaged, in seconds.
const AVERAGE_S: f64 = 1.0;

/// The recent requests per second, as an average with exponentially falling weights.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    rate: f64,
    updated: Time,
}

impl Demand {
    /// Counts a request.
    pub(crate) fn record(&mut self, now: Time) {
        self.rate = self.per_second(now) + 1.0 / AVERAGE_S;
        self.updated = now;
    }

    /// The requests per second.
    pub(crate) fn per_second(&self, now: Time) -> f64 {
        self.rate * (-now.since(self.updated).as_secs() / AVERAGE_S).exp()
    }
}
