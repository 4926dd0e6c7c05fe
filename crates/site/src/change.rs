use {
    crate::{Config, Departure, Rev, Versioned, Worker},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    unit::Name,
};

/// One of the three matters that the daemons learn from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The evacuated data centres.
    Evacuations,
    /// The workers.
    Workers,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Config, Self::Evacuations, Self::Workers];
}

/// One object as it now is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObjectState {
    /// The configuration.
    Config(Arc<Config>),
    /// A data centre is to get no new work.
    Evacuated(Name),
    /// A data centre may get work again.
    Returned(Name),
    /// A worker's entry.
    Worker(Worker),
    /// A worker's entry is gone, or names no worker any more.
    WorkerRemoved(Name, Departure),
}

/// What is new in one topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// How a worker that isn't among all items left.
    pub absent_departure: Departure,
    /// Whether `items` are all that exist, so that what isn't among them is gone.
    pub full: bool,
    /// The objects, each with the revision of its last change.
    pub items: Vec<Versioned<ObjectState>>,
    /// The topic is known up to here once the change is applied.
    pub rev: Rev,
    /// The topic.
    pub topic: Topic,
}
