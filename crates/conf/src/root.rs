use {
    crate::Change,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
    unit::Name,
};

const HISTORY: usize = 50;

/// The version of the platform's root object; a greater one is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash,
)]
pub struct Generation(pub u64);

/// The small object that names everything in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Data centres that operators have taken out.
    pub centres: BTreeSet<Name>,
    /// The newest changes, oldest first; at most 50.
    pub history: Vec<Change>,
    /// The object that holds each service's file. Such an object never changes.
    pub services: BTreeMap<Name, String>,
    /// VMs that operators have taken out.
    pub vms: BTreeSet<Name>,
}

impl Root {
    /// Whether the change `id` is part of this root.
    pub fn holds(&self, id: &str) -> Option<&Change> {
        self.history.iter().find(|change| change.id == id)
    }

    /// The newest change that touched `what`.
    pub fn last(&self, what: &str) -> Option<&Change> {
        let touched = |change: &&Change| change.touched.iter().any(|held| held == what);
        self.history.iter().rev().find(touched)
    }

    pub(crate) fn record(&mut self, change: Change) {
        self.history.push(change);
        let extra = self.history.len().saturating_sub(HISTORY);
        self.history.drain(..extra);
    }
}
