use {std::collections::VecDeque, unit::Time};

/// Tokens that were granted to this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tokens {
    /// How many there are and when they expire, in the order of their requests.
    grants: VecDeque<(u16, Time)>,
}

impl Tokens {
    /// Adds tokens that may be used before `expires`.
    pub(crate) fn add(&mut self, count: u16, expires: Time) {
        if count > 0 {
            self.grants.push_back((count, expires));
        }
    }

    /// The number of tokens that may be used now.
    pub(crate) fn count(&mut self, now: Time) -> usize {
        self.grants.retain(|(_, expires)| now < *expires);
        self.grants
            .iter()
            .map(|(count, _)| usize::from(*count))
            .sum()
    }

    /// Takes a token, the one that expires first.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        self.grants
            .retain(|(count, expires)| *count > 0 && now < *expires);
        let Some((count, _)) = self.grants.front_mut() else {
            return false;
        };
        *count -= 1;
        true
    }
}
