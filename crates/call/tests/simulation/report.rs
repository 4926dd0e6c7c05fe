//! The counts by which a simulation is judged.

/// How many callers of one workload there were, and how their requests ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Report {
    /// All callers; a caller that retries counts once.
    pub(crate) callers: u32,
    /// Callers that gave up after an error response to a request that may have run.
    pub(crate) failed: u32,
    /// Callers served after the objective.
    pub(crate) late: u32,
    /// Callers that gave up after an error response to a request that has not run.
    pub(crate) refused: u32,
    /// Callers served within the objective, counted from their first request.
    pub(crate) timely: u32,
}

impl Report {
    /// The fraction of the callers that were served within the objective.
    pub(crate) fn timely_fraction(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.callers.max(1))
    }

    /// The sum of the responses' scores: 1 for a timely one, 0.1 for a late one.
    pub(crate) fn score(&self) -> f64 {
        f64::from(self.timely) + 0.1 * f64::from(self.late)
    }

    /// The fraction of the callers that were served.
    pub(crate) fn served_fraction(&self) -> f64 {
        f64::from(self.timely + self.late) / f64::from(self.callers.max(1))
    }
}
