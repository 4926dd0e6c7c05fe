//! The tenures of grantors: candidacies, rounds of leases, and what begins and ends with them.

use {
    crate::{
        Grantor, Message, Quota, QuotaEvent, SHARDS,
        lease::{ELECTION_PERIOD, RENEW_PERIOD},
        shard::candidate_rank,
    },
    std::net::Ipv4Addr,
    unit::Time,
};

/// In fleets larger than this, each round of a grantor is for half of the daemons. A lost message then
/// costs a lease for a second or so, but a quorum is left.
const LARGE_FLEET: usize = 200;

impl Quota {
    pub(crate) fn handle_solicit(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        number: u32,
        (shards, held): (u8, u8),
    ) {
        let mut supported = 0;
        for (shard, lease) in self.leases.iter_mut().enumerate() {
            let bit = 1 << shard;
            let holds = held & bit != 0;
            if shards & bit != 0 && lease.solicited(now, from, (number, holds), &self.electorate) {
                supported |= bit;
            }
        }
        self.end_tenures(now);
        if supported != 0 {
            let message = Message::Support {
                number,
                shards: supported,
            };
            self.send(now, from, message);
        }
        if held != 0 {
            for hash in self.busy.clone() {
                self.request_tokens(now, hash);
            }
        }
    }

    pub(crate) fn handle_support(&mut self, now: Time, from: Ipv4Addr, asked: Time, shards: u8) {
        let mut began = false;
        for shard in (0..SHARDS).filter(|shard| shards & (1 << shard) != 0) {
            if self.leases[shard].supported(now, from, asked, &self.electorate) {
                self.begin_tenure(now, shard);
                began = true;
            }
        }
        if began {
            // Tells the others at once whom to request tokens from.
            self.begin_round(now, true);
        }
    }

    pub(crate) fn begin_tenure(&mut self, now: Time, shard: usize) {
        self.grantors[shard] = Some(Grantor::new(now));
        self.events.push(QuotaEvent::TenureBegan(shard));
    }

    /// Drops the state of shards of which this daemon is no longer grantor.
    pub(crate) fn end_tenures(&mut self, now: Time) {
        for shard in 0..SHARDS {
            if !self.leases[shard].holds(now) && self.grantors[shard].take().is_some() {
                self.events.push(QuotaEvent::TenureEnded(shard));
            }
        }
    }

    /// Decides of which shards this daemon is a candidate, and
    /// begins a round if one is due.
    pub(crate) fn update_leases(&mut self, now: Time) {
        let mut elects = false;
        let mut candidate = false;
        for shard in 0..SHARDS {
            let rank = self.own_rank(shard);
            let lease = &mut self.leases[shard];
            elects |= lease.update_candidacy(now, rank);
            elects |= lease.is_candidate() && !lease.holds(now);
            candidate |= lease.is_candidate();
        }
        let period = if elects {
            ELECTION_PERIOD
        } else {
            RENEW_PERIOD
        };
        if candidate && self.rounds.is_due(now, period) {
            self.begin_round(now, false);
        }
        for grantor in self.grantors.iter_mut().flatten() {
            grantor.prune(now);
        }
    }

    /// How many candidates for a shard come before this daemon; `None` if it can't be one.
    pub(crate) fn own_rank(&self, shard: usize) -> Option<usize> {
        if self.retired || self.names.is_empty() {
            return None;
        }
        let own = candidate_rank(shard, self.own);
        let voters = self.electorate.voters();
        let eligible = voters
            .iter()
            .filter(|voter| voter.eligible && self.electorate.is_established(voter.ip));
        let ranks = eligible.map(|voter| candidate_rank(shard, voter.ip));
        let mut before = 0;
        let mut is_eligible = false;
        for rank in ranks {
            before += usize::from(rank < own);
            is_eligible |= rank == own;
        }
        is_eligible.then_some(before)
    }

    /// Asks the other daemons for support for the shards of which this one is a candidate. In a large
    /// fleet each round of a grantor is for every other daemon.
    pub(crate) fn begin_round(&mut self, now: Time, announces: bool) {
        let number = self.rounds.begin(now, &mut self.rng);
        let mut shards = 0;
        let mut held = 0;
        for shard in 0..SHARDS {
            if !self.leases[shard].is_candidate() {
                continue;
            }
            shards |= 1 << shard;
            if self.leases[shard].begin_round(now, number, &self.electorate) {
                self.begin_tenure(now, shard);
            }
            if self.leases[shard].holds(now) {
                held |= 1 << shard;
            }
        }
        if shards == 0 {
            return;
        }
        let message = Message::Solicit {
            held,
            number,
            shards,
        };
        self.half = !self.half;
        let renews = shards == held && !announces;
        if renews && self.electorate.len() > LARGE_FLEET {
            let half = self.half;
            self.send_where(&message, |ip| (u32::from(ip) % 2 == 0) == half);
        } else {
            self.send_all(&message);
        }
    }
}
