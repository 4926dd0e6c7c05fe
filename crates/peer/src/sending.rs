//! To whom heartbeats go, and what they say.

use {
    crate::{
        CoarseAge, Contact, GossipEntry, HEARTBEAT_PERIOD, Heartbeat, Member, OwnState, Roster,
        roster::key,
    },
    std::net::Ipv4Addr,
    unit::{Map, Name, Time},
};

/// Daemons of the own data centre that get each heartbeat.
pub(crate) const FANOUT: usize = 5;
/// Heartbeats a second from all daemons of one data centre to each other data centre. Bytes between
/// data centres are dear, so their number doesn't grow with the fleet.
const FAR_RATE: f64 = 5.0;
/// One heartbeat in so many goes to a daemon that isn't known to be alive.
const SEEK_ONE_IN: usize = 4;
/// Daemons of which another one is told at most, so that the message stays one datagram.
const MAX_CONTACTS: usize = 24;

impl Roster {
    /// Some of the daemons that another may not know: first those that it seeks, then those that were
    /// heard.
    pub(crate) fn contacts(&mut self, other: &Name, wanted: &[u32]) -> Vec<Contact> {
        let mut names: Vec<&Name> = self.members.keys().filter(|name| *name != other).collect();
        self.rng.shuffle(&mut names);
        names.sort_by_key(|name| {
            let sought = wanted.contains(&key(name));
            (!sought, self.members[*name].last_heard.is_none())
        });
        names.truncate(MAX_CONTACTS);
        let contact = |name: &Name| {
            let member = &self.members[name];
            Contact {
                centre: member.centre.clone(),
                ip: member.ip,
                name: name.clone(),
            }
        };
        names.into_iter().map(contact).collect()
    }

    /// Daemons of the own data centre, by chance where there are many; now and then one that isn't
    /// known to be alive.
    pub(crate) fn near_targets(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let near = |member: &&Member| member.centre == self.centre;
        let (mut alive, mut silent): (Vec<&Member>, Vec<&Member>) = self
            .members
            .values()
            .filter(near)
            .partition(|member| self.is_alive(member, now));
        self.rng.shuffle(&mut alive);
        self.rng.shuffle(&mut silent);
        let many = alive.len() >= FANOUT;
        let seek = if !many {
            FANOUT - alive.len()
        } else {
            usize::from(self.rng.usize(..SEEK_ONE_IN) == 0)
        };
        alive.truncate(FANOUT);
        let silent = silent.into_iter().take(seek);
        alive
            .into_iter()
            .chain(silent)
            .map(|member| member.ip)
            .collect()
    }

    /// At most one daemon of each other data centre, by chance.
    pub(crate) fn far_targets(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let near = self
            .members
            .values()
            .filter(|member| member.centre == self.centre && self.is_alive(member, now));
        let share = FAR_RATE * HEARTBEAT_PERIOD.as_secs() / (near.count() + 1) as f64;
        let mut centres: Map<Name, Vec<(bool, Ipv4Addr)>> = Map::default();
        for member in self.members.values() {
            if member.centre != self.centre {
                let known = centres.entry(member.centre.clone()).or_default();
                known.push((self.is_alive(member, now), member.ip));
            }
        }
        let mut targets = Vec::new();
        for mut members in centres.into_values() {
            let seek = self.rng.usize(..SEEK_ONE_IN) == 0;
            if !seek && members.iter().any(|(alive, _)| *alive) {
                members.retain(|(alive, _)| *alive);
            }
            if self.rng.f64() < share {
                targets.extend(self.rng.choice(members).map(|(_, ip)| ip));
            }
        }
        targets
    }

    /// What was heard of others of some kind since this process last stood still.
    pub(crate) fn rows(&self, now: Time, wanted: impl Fn(&Member) -> bool) -> Vec<GossipEntry> {
        let row = |(name, member): (&Name, &Member)| {
            let heard = member.last_heard.filter(|at| *at > self.stood)?;
            (self.is_alive(member, now) && wanted(member)).then(|| GossipEntry {
                age: CoarseAge::new(now.since(heard)),
                name_hash: key(name),
                stage: member.stage,
            })
        };
        self.members.iter().filter_map(row).collect()
    }

    /// A heartbeat without rows.
    pub(crate) fn beat(&self, now: Time, own: &OwnState) -> Heartbeat {
        Heartbeat {
            staleness: self.staleness(now, own),
            centre: self.centre.clone(),
            contacts: Vec::new(),
            sequence: self.sequence,
            ip: self.ip,
            incarnation: self.incarnation,
            name: self.name.clone(),
            revs: own.revs,
            gossip: Vec::new(),
            wanted: Vec::new(),
            stage: own.stage,
            watch: own.watch,
        }
    }
}
