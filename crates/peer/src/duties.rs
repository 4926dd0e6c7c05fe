//! What falls to this daemon of the work that the fleet shares.

use {
    crate::{Member, OwnState, Roster, Stage, Watch},
    unit::{Name, Span, Time, rank},
};

/// The age from which on a daemon's knowledge of the site is too old to rely on the watchers.
const STALE: Span = Span::millis(1_000);
/// How long a daemon that isn't the first of its data centre waits for word from others before it
/// turns to the store itself.
const SETTLE: Span = Span::millis(300);
/// How long a daemon is silent before its entry is taken away.
const RETIRE: Span = Span::secs(600);

impl Roster {
    /// The daemons that are gone for good, where this daemon is the one to say so: it hears most of
    /// the others, and comes first among those of its data centre that live.
    pub fn expired_members(&self, now: Time) -> Vec<Name> {
        let most = (self.count_alive(now) + 1) * 2 > self.members.len() + 1;
        if !most || !self.first_of(|member| self.is_alive(member, now)) {
            return Vec::new();
        }
        let silent = |member: &Member| now.since(member.last_heard.unwrap_or(member.added));
        self.members
            .iter()
            .filter(|(_, member)| silent(member) >= RETIRE)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether this daemon has heard no other for so long that others may take it for gone.
    pub fn is_isolated(&self, now: Time) -> bool {
        let silent = |member: &Member| now.since(member.last_heard.unwrap_or(member.added));
        !self.members.is_empty()
            && self
                .members
                .values()
                .all(|member| silent(member) >= RETIRE / 2)
    }

    /// Whether this daemon is to watch the store: it is the first of its data centre that the store
    /// doesn't fail, or what it knows is too old. Right after its start, when it can't know who lives,
    /// it is the first of all that are registered there. One that the store fails goes on trying only where
    /// it is the first of all in its data centre, so that an outage costs few calls.
    pub fn must_watch(&self, now: Time, own: &OwnState) -> bool {
        if own.stage == Stage::Leaving {
            return false;
        }
        let failing = own.watch == Watch::Failing;
        if now.since(self.began) < SETTLE {
            return self.listed && self.first_of(|_| true);
        }
        if !failing && self.staleness(now, own) >= STALE {
            return true;
        }
        let candidate = |member: &Member| {
            self.is_alive(member, now)
                && member.stage != Stage::Leaving
                && (failing || member.watch != Watch::Failing)
        };
        // Where the store fails one, it may fail the next too: then two of the others watch.
        let trouble = self.members.values().any(|member| {
            member.centre == self.centre
                && self.is_alive(member, now)
                && member.watch == Watch::Failing
        });
        self.place_among(candidate) <= usize::from(trouble && !failing)
    }

    /// Whether this daemon comes before all others of its data centre of some kind.
    pub(crate) fn first_of(&self, kind: impl Fn(&Member) -> bool) -> bool {
        self.place_among(kind) == 0
    }

    /// How many others of its data centre of some kind come before this daemon, in an order that all
    /// compute alike.
    fn place_among(&self, kind: impl Fn(&Member) -> bool) -> usize {
        const ORDER: &str = "watch";
        let own = (rank(ORDER, &self.name), &self.name);
        self.members
            .iter()
            .filter(|(_, member)| member.centre == self.centre && kind(member))
            .filter(|(name, _)| (rank(ORDER, name), *name) < own)
            .count()
    }

    /// How old this daemon's knowledge of the site is.
    pub fn staleness(&self, now: Time, own: &OwnState) -> Span {
        if own.watch == Watch::Live {
            return Span::ZERO;
        }
        let told = self
            .members
            .values()
            .filter(|member| !member.revs.ahead(&own.revs))
            .filter_map(|member| member.staleness)
            .map(|(age, at)| age + now.since(at));
        told.min().unwrap_or(now.since(self.began))
    }
}
