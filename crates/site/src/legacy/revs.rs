use {
    crate::{Rev, Revs},
    serde::{Deserialize, Serialize},
};

/// The revisions of the topics that legacy builds follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegacyRevs {
    config: Rev,
    evacuations: Rev,
    workers: Rev,
}

impl From<Revs> for LegacyRevs {
    fn from(revs: Revs) -> Self {
        Self {
            config: revs.config,
            evacuations: revs.evacuations,
            workers: revs.workers,
        }
    }
}

impl From<LegacyRevs> for Revs {
    /// Nothing is known of the topics that legacy builds don't follow.
    // The update syntax covers topics that are added to `Revs`.
    #[allow(clippy::needless_update, reason = "topics may be added to `Revs`")]
    fn from(legacy: LegacyRevs) -> Self {
        Self {
            config: legacy.config,
            evacuations: legacy.evacuations,
            workers: legacy.workers,
            ..Self::default()
        }
    }
}
