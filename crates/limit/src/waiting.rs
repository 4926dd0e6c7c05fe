use {
    serde::Serialize,
    unit::{Span, Time},
};

/// A request that waits for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Waiting {
    /// The time by which it must have been answered.
    pub deadline: Time,
    /// The request.
    pub id: u64,
    /// When it began to wait.
    pub since: Time,
}

impl Waiting {
    /// Whether it has waited a quarter of the time that it had.
    pub fn aged(&self, now: Time) -> bool {
        now - self.since >= (self.deadline - self.since) / 4
    }

    /// Whether the deadline leaves less than `need`.
    pub fn late(&self, now: Time, need: Span) -> bool {
        now + need >= self.deadline
    }
}
