//! The choice of the daemons that do work for the whole fleet: watching the store and removing the
//! entries of daemons that are gone.

use {
    crate::{Format, Member, OwnState, Roster, Stage, Watch},
    unit::{Name, Set, Span, Time, rendezvous_weight},
};

/// The staleness from which daemons watch the store themselves instead of relying on the watchers.
const MAX_STALENESS: Span = Span::millis(1_000);
/// How many daemons of a data centre do so at first, in their order.
const FIRST_STALE_WATCHERS: usize = 2;
/// The further staleness after which twice as many do.
const STALENESS_STEP: Span = Span::millis(400);
/// How often their number doubles.
const MAX_DOUBLINGS: u64 = 3;
/// How long after its start a daemon that isn't the first of its data centre waits for heartbeats
/// from others before it may watch the store.
const DISCOVERY_WAIT: Span = Span::millis(300);
/// The number of data centres whose watchers follow the store most closely.
const LEAD_CENTRES: usize = 2;
/// How long a daemon is silent before its entry is removed from the store.
const MEMBER_EXPIRY: Span = Span::secs(600);

impl Roster {
    /// The members whose entries this daemon is to remove from the store because they have been
    /// silent for too long. Only a daemon that hears more than half of the fleet, and is the first
    /// of the daemons of its data centre that are alive, removes any.
    pub fn expired_members(&self, now: Time) -> Vec<Name> {
        let majority = (self.count_alive(now) + 1) * 2 > self.members.len() + 1;
        if !majority || !self.is_first(|member| self.is_alive(member, now)) {
            return Vec::new();
        }
        let silence = |member: &Member| now.since(member.last_heard.unwrap_or(member.added));
        self.members
            .iter()
            .filter(|(_, member)| silence(member) >= MEMBER_EXPIRY)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether this daemon has heard no other for half of `MEMBER_EXPIRY`, so that the others may
    /// treat it as gone; false if it knows no other.
    pub fn is_isolated(&self, now: Time) -> bool {
        let silence = |member: &Member| now.since(member.last_heard.unwrap_or(member.added));
        !self.members.is_empty()
            && self
                .members
                .values()
                .all(|member| silence(member) >= MEMBER_EXPIRY / 2)
    }

    /// Whether this daemon is to watch the store.
    ///
    /// Daemons that read only legacy messages don't count, since this daemon doesn't fetch site
    /// changes from them.
    ///
    /// The watcher of a data centre is the first of its daemons whose calls to the store don't
    /// fail; if their view of the site is too stale, the next ones watch too, the more the staler it
    /// is. Right after its start a
    /// daemon can't know which others are alive, so it watches only if it is the first of all that
    /// are registered in its data centre. A daemon whose calls to the store fail goes on trying
    /// only if it is the first of all that are alive in its data centre, so that an outage of the
    /// store causes few calls.
    pub fn must_watch(&self, now: Time, own: &OwnState) -> bool {
        if own.stage == Stage::Leaving {
            return false;
        }
        let failing = own.watch == Watch::Failing;
        if now.since(self.started) < DISCOVERY_WAIT {
            return self.registry_known && self.is_first(|_| true);
        }
        let stale = self.staleness(now, own) >= MAX_STALENESS;
        let candidate = |member: &Member| {
            self.is_alive(member, now)
                && may_be_source(member, stale)
                && member.stage != Stage::Leaving
                && (failing || member.watch != Watch::Failing)
        };
        // If one daemon's calls to the store fail, the next one's may fail too, so two others
        // watch.
        let other_failing = self.members.values().any(|member| {
            member.centre == self.centre
                && self.is_alive(member, now)
                && may_be_source(member, stale)
                && member.watch == Watch::Failing
        });
        let before = self.count_before(candidate);
        let helpers = if failing {
            0
        } else {
            stale_watchers(self.staleness(now, own))
        };
        before < helpers || before <= usize::from(other_failing && !failing)
    }

    /// Whether this daemon's data centre is among the first [`LEAD_CENTRES`] that have a daemon which
    /// is alive and reads extended messages, in an order that is the same on all daemons. Their watchers follow the store most
    /// closely, and those of the others mostly hear of changes from them.
    pub fn is_lead_centre(&self, now: Time) -> bool {
        const RANK_KEY: &str = "lead";
        let weight = |centre: &Name| rendezvous_weight(RANK_KEY, centre);
        let own = (weight(&self.centre), &self.centre);
        let alive = self.members.values();
        let alive =
            alive.filter(|member| self.is_alive(member, now) && member.format == Format::Extended);
        let before: Set<&Name> = alive
            .map(|member| &member.centre)
            .filter(|centre| (weight(centre), *centre) < own)
            .collect();
        before.len() < LEAD_CENTRES
    }

    /// Whether this daemon comes before all other daemons of its data centre that are `eligible`.
    pub(crate) fn is_first(&self, eligible: impl Fn(&Member) -> bool) -> bool {
        self.count_before(eligible) == 0
    }

    /// How many `eligible` daemons of its data centre come before this one, in an order that is the
    /// same on all daemons.
    fn count_before(&self, eligible: impl Fn(&Member) -> bool) -> usize {
        const RANK_KEY: &str = "watch";
        let own = (rendezvous_weight(RANK_KEY, &self.name), &self.name);
        self.members
            .iter()
            .filter(|(_, member)| member.centre == self.centre && eligible(member))
            .filter(|(name, _)| (rendezvous_weight(RANK_KEY, name), *name) < own)
            .count()
    }

    /// The time since this daemon's view of the site was last known to be current.
    ///
    /// It is zero while this daemon watches the store. Else it is the lowest staleness reported by
    /// any member that reads extended messages and knows no more of the site than this daemon, each
    /// plus the time since the report. Without such a report it is the time since this daemon's start.
    pub fn staleness(&self, now: Time, own: &OwnState) -> Span {
        if own.watch == Watch::Live {
            return Span::ZERO;
        }
        let reported = self
            .members
            .values()
            .filter(|member| member.format == Format::Extended)
            .filter(|member| !member.revs.ahead(&own.revs))
            .filter_map(|member| member.staleness)
            .map(|(staleness, at)| staleness + now.since(at));
        reported.min().unwrap_or(now.since(self.started))
    }
}

/// Whether this daemon may learn of site changes from a member. Most members of a large fleet are
/// known only through gossip at first, so one of which the format isn't known yet counts unless this
/// daemon's view is `stale`.
fn may_be_source(member: &Member, stale: bool) -> bool {
    match member.format {
        Format::Extended => true,
        Format::Legacy => !stale && !member.handshake.is_refused(),
    }
}

/// How many daemons of a data centre, in their order, watch the store because of their staleness.
fn stale_watchers(staleness: Span) -> usize {
    if staleness < MAX_STALENESS {
        return 0;
    }
    let steps = staleness.saturating_sub(MAX_STALENESS).as_micros() / STALENESS_STEP.as_micros();
    FIRST_STALE_WATCHERS << steps.min(MAX_DOUBLINGS)
}
