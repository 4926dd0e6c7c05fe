use {
    crate::Topic,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// A revision of the platform's store; it grows with every change of any object.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Rev(pub u64);

/// The revision up to which each topic is known in full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revs {
    /// Of the configuration.
    pub config: Rev,
    /// Of the evacuated data centres.
    pub evacuations: Rev,
    /// Of the workers.
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

    /// Raises the revision of one topic; it never falls.
    pub fn raise(&mut self, topic: Topic, rev: Rev) {
        let own = match topic {
            Topic::Config => &mut self.config,
            Topic::Evacuations => &mut self.evacuations,
            Topic::Workers => &mut self.workers,
        };
        *own = rev.max(*own);
    }

    /// Whether some topic is known further here than in `other`.
    pub fn ahead(&self, other: &Self) -> bool {
        Topic::ALL
            .iter()
            .any(|topic| self.of(*topic) > other.of(*topic))
    }
}
