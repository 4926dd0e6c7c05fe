//! Revisions of the platform's store.

use {
    crate::Topic,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// A revision of the platform's store; it grows with every change to any object.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Rev(pub u64);

/// The revisions up to which the topics are known without gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revs {
    /// The revision of the configuration.
    pub config: Rev,
    /// The revision of the evacuated data centres.
    pub evacuations: Rev,
    /// The revision of the workers' entries.
    pub workers: Rev,
}

impl Revs {
    /// The revision of one topic.
    pub const fn of(&self, topic: Topic) -> Rev {
        match topic {
            Topic::Config => self.config,
            Topic::Evacuations => self.evacuations,
            Topic::Workers => self.workers,
        }
    }

    /// Raises the revision of one topic to `rev`; a lower `rev` changes nothing.
    pub fn raise(&mut self, topic: Topic, rev: Rev) {
        let known = match topic {
            Topic::Config => &mut self.config,
            Topic::Evacuations => &mut self.evacuations,
            Topic::Workers => &mut self.workers,
        };
        *known = rev.max(*known);
    }

    /// Whether the revision of any topic is higher than in `other`.
    pub fn ahead(&self, other: &Self) -> bool {
        Topic::ALL
            .iter()
            .any(|topic| self.of(*topic) > other.of(*topic))
    }
}
