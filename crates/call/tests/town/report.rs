/// What the callers of one route got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Report {
    pub(crate) asked: u32,
    pub(crate) failed: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) timely: u32,
}

impl Report {
    /// The part of the callers that got an answer within the objective, counted from their first try.
    pub(crate) fn timely(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.asked.max(1))
    }

    /// The sum of what the answers are worth; a late one is worth a tenth.
    pub(crate) fn worth(&self) -> f64 {
        f64::from(self.timely) + 0.1 * f64::from(self.late)
    }

    /// The part of the callers that got an answer.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.timely + self.late) / f64::from(self.asked.max(1))
    }
}
