use {
    super::config::LegacyConfig,
    crate::{Change, Departure, ObjectState, Rev, Topic, Versioned, Worker, WorkerState},
    serde::Serialize,
    std::net::SocketAddrV4,
    unit::{Name, Span},
};

/// A set of updates to one topic as legacy builds decode it.
#[derive(Clone, Debug, Serialize)]
pub struct LegacyChange {
    absent_departure: Departure,
    full: bool,
    items: Vec<Versioned<LegacyObjectState>>,
    rev: Rev,
    topic: LegacyTopic,
}

impl LegacyChange {
    /// Converts a change; `None` if legacy builds don't follow its topic.
    pub fn new(change: &Change) -> Option<Self> {
        let item = |item: &Versioned<ObjectState>| {
            Some(Versioned {
                rev: item.rev,
                value: LegacyObjectState::new(&item.value)?,
            })
        };
        Some(Self {
            absent_departure: change.absent_departure,
            full: change.full,
            items: change.items.iter().filter_map(item).collect(),
            rev: change.rev,
            topic: LegacyTopic::new(change.topic)?,
        })
    }

    /// Whether legacy builds follow a topic.
    pub fn covers(topic: Topic) -> bool {
        LegacyTopic::new(topic).is_some()
    }
}

// The order of the variants is that of their numbers on the wire, here and below.
#[derive(Clone, Copy, Debug, Serialize)]
enum LegacyTopic {
    Config,
    Evacuations,
    Workers,
}

impl LegacyTopic {
    fn new(topic: Topic) -> Option<Self> {
        match topic {
            Topic::Config => Some(Self::Config),
            Topic::Evacuations => Some(Self::Evacuations),
            Topic::Workers => Some(Self::Workers),
            Topic::Rollouts => None,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
enum LegacyObjectState {
    Config(Box<LegacyConfig>),
    Evacuated(Name),
    Returned(Name),
    Worker(LegacyWorker),
    WorkerRemoved(Name, Departure),
}

impl LegacyObjectState {
    /// Converts an object's state; `None` for objects of topics that legacy builds don't follow.
    fn new(state: &ObjectState) -> Option<Self> {
        Some(match state {
            ObjectState::Config(config) => Self::Config(Box::new(LegacyConfig::from(&**config))),
            ObjectState::Evacuated(name) => Self::Evacuated(name.clone()),
            ObjectState::Returned(name) => Self::Returned(name.clone()),
            ObjectState::Worker(worker) => Self::Worker(LegacyWorker::from(worker)),
            ObjectState::WorkerRemoved(id, departure) => {
                Self::WorkerRemoved(id.clone(), *departure)
            }
            ObjectState::Rollout(_)
            | ObjectState::RolloutRemoved(_)
            | ObjectState::RolloutUnreadable(_) => return None,
        })
    }
}

/// A worker's entry without the version of its software.
#[derive(Clone, Debug, Serialize)]
struct LegacyWorker {
    address: SocketAddrV4,
    started_ms: u64,
    centre: Name,
    cold_remaining: Span,
    id: Name,
    heartbeats: u64,
    service: Name,
    slots: u32,
    state: WorkerState,
}

impl From<&Worker> for LegacyWorker {
    fn from(worker: &Worker) -> Self {
        Self {
            address: worker.address,
            started_ms: worker.started_ms,
            centre: worker.centre.clone(),
            cold_remaining: worker.cold_remaining,
            id: worker.id.clone(),
            heartbeats: worker.heartbeats,
            service: worker.service.clone(),
            slots: worker.slots,
            state: worker.state,
        }
    }
}
