use {
    std::{collections::VecDeque, net::Ipv4Addr},
    unit::{Map, Set, Span, Time},
};

/// How long a former membership still has a say in who is grantor. Within this time, daemons that
/// can reach each other or the store learn of the change.
const SETTLE_TIME: Span = Span::secs(30);
/// How long a view lasts that daemons count by. While a fleet starts, views change all the time.
const LASTING: Span = Span::secs(5);
/// The most former memberships that are kept. More changes than that in [`SETTLE_TIME`] are kept as
/// the oldest ones; those between may be lost.
const MAX_FORMER: usize = 16;

/// A registered daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Whether it may be grantor: it is alive, ready and reads messages about quotas.
    pub eligible: bool,
    /// Its address, by which daemons know each other here.
    pub ip: Ipv4Addr,
    /// Whether it reads messages about quotas.
    pub reads: bool,
}

/// A view that was replaced.
#[derive(Clone, Debug)]
struct Former {
    lasted: Span,
    replaced: Time,
    view: Set<Ipv4Addr>,
}

/// The registered daemons, the own one included, and who counted as such lately.
///
/// A quorum is more than half of the registered daemons, by the present view and by each view that
/// was replaced less than `SETTLE_TIME` ago. So two quorums have a daemon in common as long as
/// views differ by no more than the changes of that time. A daemon that has just joined knows no former
/// view, so those that do don't support it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Electorate {
    former: VecDeque<Former>,
    present: Set<Ipv4Addr>,
    /// When the present view began.
    since: Time,
    voters: Vec<Voter>,
}

impl Electorate {
    /// Replaces the present view. Returns whether another set of daemons is registered.
    pub(crate) fn set(&mut self, now: Time, voters: Vec<Voter>) -> bool {
        let present: Set<Ipv4Addr> = voters.iter().map(|voter| voter.ip).collect();
        self.voters = voters;
        let expired = |at: &Time| now.since(*at) >= SETTLE_TIME;
        let before = self.former.len();
        self.former.retain(|former| !expired(&former.replaced));
        let fewer = self.former.len() < before;
        if present == self.present {
            return fewer;
        }
        let view = std::mem::replace(&mut self.present, present);
        let since = std::mem::replace(&mut self.since, now);
        if !view.is_empty() {
            self.former.push_back(Former {
                lasted: now.since(since),
                replaced: now,
                view,
            });
        }
        if self.former.len() > MAX_FORMER {
            self.former.remove(MAX_FORMER / 2);
        }
        true
    }

    /// The registered daemons.
    pub(crate) fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Whether a daemon may be grantor by the views of which it is to know: it was registered in each
    /// former one that lasted. One that has just joined knows none of them, so that its quorum would
    /// have no daemon in common with one that counts by them.
    pub(crate) fn is_established(&self, ip: Ipv4Addr) -> bool {
        let mut lasting = self.former.iter().filter(|former| former.lasted >= LASTING);
        lasting.all(|former| former.view.contains(&ip))
    }

    /// Whether a daemon is registered.
    pub(crate) fn contains(&self, ip: Ipv4Addr) -> bool {
        self.present.contains(&ip)
    }

    /// The number of registered daemons.
    pub(crate) fn len(&self) -> usize {
        self.present.len()
    }

    /// The time until which a quorum's leases last, given when each lease ends; `Time::ZERO` if
    /// there are too few.
    pub(crate) fn quorum_until(&self, leases: &Map<Ipv4Addr, Time>) -> Time {
        let former = self.former.iter().map(|former| &former.view);
        let ends = former.chain([&self.present]).map(|view| {
            let mut ends: Vec<Time> = leases
                .iter()
                .filter(|(ip, _)| view.contains(*ip))
                .map(|(_, end)| *end)
                .collect();
            let quorum = view.len() / 2 + 1;
            if ends.len() < quorum {
                return Time::ZERO;
            }
            // The quorum lasts until the earliest of its leases, with the latest ones in it.
            let index = ends.len() - quorum;
            *ends.select_nth_unstable(index).1
        });
        ends.min().unwrap_or_default()
    }
}
