//! Places in the history of the platform's store.

use {
    crate::{LegacyRevs, Topic},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// How often the platform's store has come back from an older copy. In each era it gives out again
/// the revisions that it gave out after that copy was made.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Era(pub u32);

/// A place in the history of the platform's store. Those of a later era come after all of an
/// earlier one.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{era}.{number}")]
pub struct Rev {
    // The order of the fields is that of the comparison.
    /// The era that gave out the number.
    pub era: Era,
    /// The store's revision, which grows with every change to any object within an era.
    pub number: u64,
}

impl Rev {
    /// The revision `number` of an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

/// The revisions up to which the topics are known without gaps.
///
/// Serialization covers only the topics that all builds follow, in the form that all builds read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LegacyRevs", into = "LegacyRevs")]
pub struct Revs {
    /// The revision of the configuration.
    pub config: Rev,
    /// The revision of the evacuated data centres.
    pub evacuations: Rev,
    /// The revision of the workers' entries.
    pub workers: Rev,
    /// The revision of the rollouts. Left out of messages, whose form earlier builds know; daemons
    /// tell each other of rollouts in sections of heartbeats.
    pub rollouts: Rev,
}

impl Revs {
    /// The revision of one topic.
    pub const fn of(&self, topic: Topic) -> Rev {
        match topic {
            Topic::Config => self.config,
            Topic::Evacuations => self.evacuations,
            Topic::Workers => self.workers,
            Topic::Rollouts => self.rollouts,
        }
    }

    /// Raises the revision of one topic to `rev`; a lower `rev` changes nothing.
    pub fn raise(&mut self, topic: Topic, rev: Rev) {
        let known = match topic {
            Topic::Config => &mut self.config,
            Topic::Evacuations => &mut self.evacuations,
            Topic::Workers => &mut self.workers,
            Topic::Rollouts => &mut self.rollouts,
        };
        *known = rev.max(*known);
    }

    /// The latest era of any topic.
    pub fn era(&self) -> Era {
        let eras = Topic::WITH_OPTIONAL.iter().map(|topic| self.of(*topic).era);
        eras.max().unwrap_or_default()
    }

    /// Whether the revision of any topic is higher than in `other`.
    pub fn ahead(&self, other: &Self) -> bool {
        Topic::WITH_OPTIONAL
            .iter()
            .any(|topic| self.of(*topic) > other.of(*topic))
    }
}
