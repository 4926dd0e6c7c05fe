use {
    crate::lease::LEASE,
    fastrand::Rng,
    std::collections::VecDeque,
    unit::{Span, Time},
};

/// The rounds in which a candidate asked for support. One round is for all shards of which the
/// daemon is a candidate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rounds {
    /// Number and time of the rounds whose answers still count, oldest first.
    recent: VecDeque<(u32, Time)>,
}

impl Rounds {
    /// Begins a round and returns its number. It is random, so that answers to an earlier process
    /// run of the same daemon aren't taken for answers to this one.
    pub(crate) fn begin(&mut self, now: Time, rng: &mut Rng) -> u32 {
        self.recent.retain(|(_, at)| now.since(*at) < LEASE);
        let number = rng.u32(..);
        self.recent.push_back((number, now));
        number
    }

    /// When the round with a number began, if its answers still count.
    pub(crate) fn began(&self, number: u32) -> Option<Time> {
        let mut rounds = self.recent.iter().rev();
        let (_, at) = rounds.find(|(other, _)| *other == number)?;
        Some(*at)
    }

    /// The numbers of the rounds whose leases may not have ended.
    pub(crate) fn numbers(&self, now: Time) -> Vec<u32> {
        let recent = self.recent.iter();
        let recent = recent.filter(|(_, at)| now.since(*at) < LEASE);
        recent.map(|(number, _)| *number).collect()
    }

    /// Whether the last round began at least `period` ago.
    pub(crate) fn is_due(&self, now: Time, period: Span) -> bool {
        let last = self.recent.back();
        last.is_none_or(|(_, at)| now.since(*at) >= period)
    }
}
