//! Changes to the site, as the store and other daemons report them.

use {
    crate::{Config, Departure, Rev, Rollout, Versioned, Worker},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    unit::Name,
};

/// A kind of object in the platform's store that daemons follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The evacuated data centres.
    Evacuations,
    /// The workers' entries.
    Workers,
    /// The rollouts of services' versions, which only some deployments have.
    Rollouts,
}

impl Topic {
    /// The topics that every deployment has.
    pub const ALL: [Self; 3] = [Self::Config, Self::Evacuations, Self::Workers];
    /// These and the ones that only some deployments have.
    pub const WITH_OPTIONAL: [Self; 4] = [
        Self::Config,
        Self::Evacuations,
        Self::Workers,
        Self::Rollouts,
    ];
}

/// The current state of one object in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObjectState {
    /// The configuration.
    Config(Arc<Config>),
    /// A data centre is evacuated and gets no new requests.
    Evacuated(Name),
    /// The evacuation of a data centre has ended; it may get requests again.
    Returned(Name),
    /// The current entry of a worker.
    Worker(Worker),
    /// The entry of the worker with this id was removed, or is no longer readable.
    WorkerRemoved(Name, Departure),
    /// A rollout.
    Rollout(Rollout),
    /// The rollout object of this name was removed.
    RolloutRemoved(Name),
    /// The rollout object of this name can't be decoded.
    RolloutUnreadable(Name),
}

/// A set of updates to one topic: all its objects, or those changed since some revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Why the workers that a full list lacks departed; unused unless `full`.
    pub absent_departure: Departure,
    /// Whether `items` lists every object of the topic, so that an object not listed was removed.
    pub full: bool,
    /// The objects' states, each with the revision of its last change.
    pub items: Vec<Versioned<ObjectState>>,
    /// The revision up to which the topic is known once the change is applied.
    pub rev: Rev,
    /// The topic.
    pub topic: Topic,
}
