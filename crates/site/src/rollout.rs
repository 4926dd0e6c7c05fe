use {
    serde::{Deserialize, Serialize},
    unit::{Name, Span},
};

/// The state of a rollout in the store, which the fleet itself writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// All requests go to the target version; the other workers are stopped.
    Completed,
    /// No request goes to the target version; its workers are stopped.
    RolledBack,
    /// No verdict was written yet.
    Running,
}

/// A request to move a service's traffic to the workers of one version, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The store's number for the creation of the object. With the target version it tells one
    /// rollout of a service from the next.
    pub created: u64,
    /// The time from the writing of the object to the deadline.
    pub duration: Span,
    /// The name of the object in the store.
    pub name: Name,
    /// The service whose traffic is to be moved.
    pub service: Name,
    /// The state of this rollout; `None` until a daemon has written one. A state that was written
    /// for another target version doesn't count.
    pub state: Option<RolloutState>,
    /// The version that is to serve the traffic.
    pub target: Name,
}

impl Rollout {
    /// Whether both are the same rollout, whatever its state.
    pub fn is_same(&self, other: &Self) -> bool {
        self.created == other.created
            && self.service == other.service
            && self.target == other.target
    }

    /// Whether a verdict was written. It is final.
    pub const fn is_decided(&self) -> bool {
        matches!(
            self.state,
            Some(RolloutState::Completed | RolloutState::RolledBack)
        )
    }
}
