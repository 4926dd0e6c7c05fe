//! What daemons tell each other of a rollout.

use {
    crate::Evidence,
    serde::{Deserialize, Serialize},
};

/// One daemon's own counts of a rollout, from its start on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its counts.
    pub counts: Evidence,
    /// The hash of the daemon's name.
    pub daemon: u32,
    /// The number that tells its process run from earlier ones.
    pub incarnation: u32,
    /// The number of this report in that process run; a higher one replaces a lower one.
    pub sequence: u32,
    /// Whether it sends nothing to the old version any more and has nothing in flight there.
    pub settled: bool,
}

/// What a daemon tells others of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutNews {
    /// The time since the writing of the rollout's object, in milliseconds.
    pub elapsed_ms: u32,
    /// The hash by which the rollout is known.
    pub id: u32,
    /// The median time of the old version's responses on each route, by the hash of its name, in
    /// microseconds.
    pub medians: Vec<(u32, u32)>,
    /// Some daemons' reports.
    pub reports: Vec<Report>,
    /// The time since the traffic began to shift, in milliseconds; `None` before that.
    pub shifting_ms: Option<u32>,
}
