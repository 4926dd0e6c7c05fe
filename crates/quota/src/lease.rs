use {
    crate::{electorate::Electorate, shard::candidate_rank},
    std::net::Ipv4Addr,
    unit::{Map, Span, Time},
};

/// How long a daemon that supports a candidate supports no other.
pub const LEASE: Span = Span::secs(3);
/// How long a candidate uses a lease, from when it asked for it. The difference covers clocks that
/// run at different speeds.
const USABLE: Span = Span::millis(2_900);
/// The time between two rounds of a grantor; two of them end before a lease does, so that one lost
/// message does no harm.
pub(crate) const RENEW_PERIOD: Span = Span::millis(1_300);
/// The time between two rounds of a candidate that isn't grantor yet.
pub(crate) const ELECTION_PERIOD: Span = Span::millis(400);
/// How much later the next candidate in order begins if those before it are silent.
const CANDIDATE_STEP: Span = Span::millis(300);
/// How long after its last message a candidate is preferred to those after it in order.
const CONTENDER_TIME: Span = Span::millis(900);
/// How long a candidate asks in vain before it lets others try, as it may be cut off from most
/// daemons but not from all.
const MAX_CANDIDACY: Span = Span::millis(4_500);
/// How long it then waits.
const CANDIDACY_PAUSE: Span = Span::secs(9);

/// The own promise to support no other candidate for a time.
#[derive(Clone, Copy, Debug)]
struct Promise {
    ip: Ipv4Addr,
    /// The round of the candidate that was answered last.
    number: u32,
    until: Time,
}

/// One daemon's part in the choice of a shard's grantor: whom it supports, and who supports it.
///
/// A daemon supports one candidate at a time, for [`LEASE`] from when it says so, and none until
/// [`LEASE`] after its own start, as it may have supported one before. A candidate counts that time
/// from when it asked, which was earlier, so a lease ends for the candidate before the supporter may
/// support another. It is grantor while a quorum supports it; any two quorums have a daemon in
/// common, so there is at most one grantor.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Since when this daemon is a candidate without being grantor; `None` if it is no candidate.
    candidate_since: Option<Time>,
    /// The best-ranked other candidate that was heard lately.
    contender: Option<(Ipv4Addr, Time)>,
    /// Until when a quorum's leases last.
    held_until: Time,
    /// The other daemon that last said that it is grantor.
    holder: Option<(Ipv4Addr, Time)>,
    /// When each of the daemons that support this one stops to do so.
    leases: Map<Ipv4Addr, Time>,
    own: Ipv4Addr,
    paused_until: Time,
    promise: Option<Promise>,
    /// When a grantor was last heard, or this daemon started.
    quiet_since: Time,
    /// The rounds of the grantor that stopped last. A message of these may arrive late.
    released: Vec<u32>,
    shard: usize,
    started: Time,
}

impl Lease {
    /// The state at the daemon's start.
    pub fn new(shard: usize, own: Ipv4Addr, now: Time) -> Self {
        Self {
            candidate_since: None,
            contender: None,
            held_until: Time::ZERO,
            holder: None,
            leases: Map::default(),
            own,
            paused_until: Time::ZERO,
            promise: None,
            quiet_since: now,
            released: Vec::new(),
            shard,
            started: now,
        }
    }

    /// Whether this daemon is grantor.
    pub fn holds(&self, now: Time) -> bool {
        now < self.held_until
    }

    /// Whether this daemon asks others for their support.
    pub(crate) fn is_candidate(&self) -> bool {
        self.candidate_since.is_some()
    }

    /// The daemon that is grantor, as far as is known.
    pub(crate) fn holder(&self, now: Time) -> Option<Ipv4Addr> {
        if self.holds(now) {
            return Some(self.own);
        }
        let (ip, heard) = self.holder?;
        (now.since(heard) < LEASE).then_some(ip)
    }

    /// Records that a daemon said that it isn't grantor.
    pub(crate) fn clear_holder(&mut self, ip: Ipv4Addr) {
        if self.holder.is_some_and(|(holder, _)| holder == ip) {
            self.holder = None;
        }
    }

    /// Handles that a candidate asks for support. Returns whether this daemon gives it.
    pub(crate) fn solicited(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        (number, held): (u32, bool),
        electorate: &Electorate,
    ) -> bool {
        let released = self.released.contains(&number);
        let admissible = electorate.contains(from) && electorate.is_established(from);
        if !admissible || from == self.own || released {
            return false;
        }
        self.record_candidate(now, from, held);
        let shard = self.shard;
        let rank = |ip| candidate_rank(shard, ip);
        if !self.holds(now) && (held || rank(from) < rank(self.own)) {
            self.withdraw();
        }
        let promised = self
            .promise
            .is_some_and(|promise| promise.ip != from && now < promise.until);
        let other_holder = self.holder(now).is_some_and(|ip| ip != from);
        let preferred = |(ip, heard): (Ipv4Addr, Time)| {
            rank(ip) < rank(from) && now.since(heard) < CONTENDER_TIME
        };
        let outranked = other_holder || self.contender.is_some_and(preferred);
        if now < self.started + LEASE || promised || (!held && outranked) {
            return false;
        }
        self.promise = Some(Promise {
            ip: from,
            number,
            until: now + LEASE,
        });
        true
    }

    /// Handles that a daemon supports this one, which had asked it at `asked`. Returns whether this
    /// daemon has thereby become grantor.
    pub(crate) fn supported(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        asked: Time,
        electorate: &Electorate,
    ) -> bool {
        if !self.is_candidate() {
            return false;
        }
        let held = self.holds(now);
        let end = self.leases.entry(from).or_default();
        *end = (*end).max(asked + USABLE);
        self.held_until = electorate.quorum_until(&self.leases);
        !held && self.holds(now)
    }

    /// Counts the leases again after a change of the registered daemons.
    pub(crate) fn recount(&mut self, electorate: &Electorate) {
        self.held_until = electorate.quorum_until(&self.leases);
    }

    /// Handles that a daemon stopped being grantor before its leases ended.
    pub(crate) fn released(&mut self, now: Time, from: Ipv4Addr, rounds: &[u32]) {
        // A promise for a later round is one to another process run of the same daemon.
        let ended = |promise: Promise| promise.ip == from && rounds.contains(&promise.number);
        if self.promise.is_some_and(ended) {
            self.promise = None;
        }
        self.released = rounds.to_vec();
        if self.holder.is_some_and(|(ip, _)| ip == from) {
            self.holder = None;
            self.contender = None;
            self.quiet_since = now.saturating_sub(LEASE);
        }
    }

    /// Begins a round: the daemon supports itself unless it has promised otherwise. Returns whether
    /// it has thereby become grantor.
    pub(crate) fn begin_round(&mut self, now: Time, number: u32, electorate: &Electorate) -> bool {
        let own = self.own;
        let promised = |promise: Promise| promise.ip != own && now < promise.until;
        if !electorate.contains(own) || self.promise.is_some_and(promised) {
            return false;
        }
        self.promise = Some(Promise {
            ip: own,
            number,
            until: now + LEASE,
        });
        self.supported(now, own, now, electorate)
    }

    /// Decides whether this daemon is a candidate, where `rank` daemons that may be grantor come
    /// before it, or `None` if it may not be grantor itself. Returns whether it has become one.
    pub(crate) fn update_candidacy(&mut self, now: Time, rank: Option<usize>) -> bool {
        if self.holds(now) {
            self.candidate_since = Some(now);
            self.quiet_since = now;
            return false;
        }
        let Some(rank) = rank else {
            self.withdraw();
            return false;
        };
        if let Some(since) = self.candidate_since {
            if now.since(since) >= MAX_CANDIDACY {
                self.withdraw();
                self.paused_until = now + CANDIDACY_PAUSE;
            }
            return false;
        }
        let contended = self.contender.is_some_and(|(ip, heard)| {
            now.since(heard) < LEASE
                && candidate_rank(self.shard, ip) < candidate_rank(self.shard, self.own)
        });
        let silence = LEASE + CANDIDATE_STEP * rank as u64;
        let begins = now.since(self.quiet_since) >= silence
            && now >= self.started + LEASE
            && now >= self.paused_until
            && !contended;
        if begins {
            self.candidate_since = Some(now);
        }
        begins
    }

    /// Stops being a candidate or grantor, and uses no lease any more.
    pub(crate) fn withdraw(&mut self) {
        self.candidate_since = None;
        self.held_until = Time::ZERO;
        self.leases.clear();
        if self.promise.is_some_and(|promise| promise.ip == self.own) {
            self.promise = None;
        }
    }

    fn record_candidate(&mut self, now: Time, from: Ipv4Addr, held: bool) {
        if held {
            self.holder = Some((from, now));
            self.quiet_since = now;
        } else {
            self.clear_holder(from);
        }
        let rank = |ip| candidate_rank(self.shard, ip);
        let keeps = |(ip, heard): (Ipv4Addr, Time)| {
            rank(ip) < rank(from) && now.since(heard) < CONTENDER_TIME
        };
        if !self.contender.is_some_and(keeps) {
            self.contender = Some((from, now));
        }
    }
}
