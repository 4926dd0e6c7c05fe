use {
    crate::lease::LEASE,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, net::Ipv4Addr},
    unit::{Map, Set, Span, Time, digest},
};

/// How long a former membership still has a say in who is grantor. Within this time, daemons that
/// can reach each other or the store learn of the change.
const SETTLE_TIME: Span = Span::secs(30);
/// The most former memberships that are kept. More changes than that in [`SETTLE_TIME`] are kept as
/// the oldest ones; those between may be lost.
const MAX_FORMER: usize = 16;

/// The most views that are kept of those that other daemons told.
const MAX_TOLD: usize = 64;
/// After this time a view is asked for again.
const ASK_AGAIN: Span = Span::millis(300);

/// Identifies a view of the registered daemons: a digest of their addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewId(u32);

impl ViewId {
    fn new(view: &Set<Ipv4Addr>) -> Self {
        let mut sorted: Vec<[u8; 4]> = view.iter().map(Ipv4Addr::octets).collect();
        sorted.sort_unstable();
        // Half of the digest is dropped to keep messages small.
        Self(digest(sorted.iter().map(|octets| &octets[..])) as u32)
    }
}

/// A view of another daemon that supports this one.
#[derive(Clone, Debug)]
struct Told {
    /// When the last lease ends that was given by a daemon with this view.
    until: Time,
    view: Set<Ipv4Addr>,
}

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

/// The registered daemons, the own one included, and who counted as such lately.
///
/// A quorum is more than half of the registered daemons, by the present view, by each view that was
/// replaced less than `SETTLE_TIME` ago, and by those views of each daemon in it. So two quorums have
/// a daemon in common as long as views differ by no more than the changes of that time; a daemon that
/// has just started has no former view and learns those of the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Electorate {
    /// When views were asked for that aren't known here.
    asked: Map<ViewId, Time>,
    former: VecDeque<(Time, Set<Ipv4Addr>)>,
    present: Set<Ipv4Addr>,
    told: Map<ViewId, Told>,
    voters: Vec<Voter>,
}

impl Electorate {
    /// Replaces the present view. Returns whether another set of daemons is registered.
    pub(crate) fn set(&mut self, now: Time, voters: Vec<Voter>) -> bool {
        let present: Set<Ipv4Addr> = voters.iter().map(|voter| voter.ip).collect();
        self.voters = voters;
        let expired = |at: &Time| now.since(*at) >= SETTLE_TIME;
        let before = self.former.len() + self.told.len();
        self.former.retain(|(replaced, _)| !expired(replaced));
        self.told.retain(|_, told| now < told.until);
        self.asked.retain(|_, at| now.since(*at) < ASK_AGAIN);
        let fewer = self.former.len() + self.told.len() < before;
        if present == self.present {
            return fewer;
        }
        let former = std::mem::replace(&mut self.present, present);
        if !former.is_empty() {
            self.former.push_back((now, former));
        }
        if self.former.len() > MAX_FORMER {
            self.former.remove(MAX_FORMER / 2);
        }
        true
    }

    /// The own views, the present one first.
    pub(crate) fn views(&self) -> Vec<ViewId> {
        let former = self.former.iter().map(|(_, view)| view);
        [&self.present]
            .into_iter()
            .chain(former)
            .map(ViewId::new)
            .collect()
    }

    /// The daemons of an own view.
    pub(crate) fn view(&self, id: ViewId) -> Option<Vec<Ipv4Addr>> {
        let former = self.former.iter().map(|(_, view)| view);
        let mut views = [&self.present].into_iter().chain(former);
        let view = views.find(|view| ViewId::new(view) == id)?;
        Some(view.iter().copied().collect())
    }

    /// Notes the views of a daemon whose lease begins. Returns whether all are known, so that the
    /// lease may be used.
    pub(crate) fn note_views(&mut self, now: Time, ids: &[ViewId]) -> bool {
        let own = self.views();
        let mut known = true;
        for id in ids.iter().filter(|id| !own.contains(id)) {
            match self.told.get_mut(id) {
                Some(told) => told.until = now + LEASE,
                None => known = false,
            }
        }
        known
    }

    /// Those of the views that are to be asked for now.
    pub(crate) fn take_unknown(&mut self, now: Time, ids: &[ViewId]) -> Vec<ViewId> {
        let own = self.views();
        let mut unknown = Vec::new();
        for id in ids {
            let asked = self.asked.get(id).copied();
            let waits = asked.is_some_and(|at| now.since(at) < ASK_AGAIN);
            if !waits && !own.contains(id) && !self.told.contains_key(id) {
                self.asked.insert(*id, now);
                unknown.push(*id);
            }
        }
        unknown
    }

    /// Keeps a view that another daemon told.
    pub(crate) fn learn(&mut self, now: Time, members: Vec<Ipv4Addr>) {
        let view: Set<Ipv4Addr> = members.into_iter().collect();
        let id = ViewId::new(&view);
        if self.asked.remove(&id).is_some() && self.told.len() < MAX_TOLD {
            let until = now + LEASE;
            self.told.insert(id, Told { until, view });
        }
    }

    /// The registered daemons.
    pub(crate) fn voters(&self) -> &[Voter] {
        &self.voters
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
        let former = self.former.iter().map(|(_, view)| view);
        let told = self.told.values().map(|told| &told.view);
        let ends = former.chain(told).chain([&self.present]).map(|view| {
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
