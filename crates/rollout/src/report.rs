//! What daemons tell each other of a rollout.

use {
    crate::Evidence,
    serde::{Deserialize, Serialize},
    site::{ObjectState, Rev, Versioned},
    unit::Name,
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
    pub medians: Vec<(u16, u32)>,
    /// Some daemons' reports.
    pub reports: Vec<Report>,
    /// The time since the traffic began to shift, in milliseconds; `None` before that.
    pub shifting_ms: Option<u32>,
}

/// The rollouts that a daemon knows, for those that can't read them from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The established versions, each with its service.
    pub established: Vec<(Name, Name)>,
    /// The states of all rollouts' objects.
    pub items: Vec<Versioned<ObjectState>>,
}

/// The section of a heartbeat about rollouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutSection {
    /// The revision up to which the sender knows all changes of rollouts.
    pub known: Rev,
    /// The rollouts; not in each heartbeat.
    pub listing: Option<Listing>,
    /// What the sender tells of the rollouts in progress.
    pub news: Vec<RolloutNews>,
    /// The revision of the last change of the rollouts.
    pub rev: Rev,
}
