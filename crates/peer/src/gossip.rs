//! The receivers and the contents of heartbeats.

use {
    crate::{
        CoarseAge, Contact, Format, GossipEntry, HEARTBEAT_PERIOD, Heartbeat, Member, MemberAges,
        OwnState, Roster, RosterAction,
        member_ages::{MemberOrder, pack, unpack},
        roster::name_hash,
    },
    std::{net::Ipv4Addr, sync::Arc},
    unit::{Map, Name, Time},
};

/// How many daemons of the own data centre receive each regular heartbeat. One more that isn't
/// known to be alive may be added.
pub(crate) const FANOUT: usize = 5;
/// Heartbeats per second that all daemons of one data centre together send to each other data
/// centre. Traffic between data centres is expensive, so the rate doesn't grow with the fleet.
const REMOTE_PER_SECOND: f64 = 5.0;
/// One in this many heartbeats may go to a daemon that isn't known to be alive.
const SILENT_ONE_IN: usize = 4;
/// The most contacts in one heartbeat, so that it fits in a single datagram.
const MAX_CONTACTS: usize = 24;

impl Roster {
    /// At most `MAX_CONTACTS` contacts for the daemon named `receiver`: those that it wants first,
    /// then members that have been heard, then others.
    pub(crate) fn contacts(&mut self, receiver: &Name, wanted: &[u32]) -> Vec<Contact> {
        let mut names: Vec<&Name> = self
            .members
            .keys()
            .filter(|name| *name != receiver)
            .collect();
        self.rng.shuffle(&mut names);
        names.sort_by_key(|name| {
            let is_wanted = wanted.contains(&name_hash(name));
            (!is_wanted, self.members[*name].last_heard.is_none())
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

    /// The receivers in the own data centre: random daemons that are alive. If these are fewer than
    /// `FANOUT`, others fill up the number; else one other is added with a probability of one in
    /// `SILENT_ONE_IN`.
    pub(crate) fn local_targets(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let local = |member: &&Member| member.centre == self.centre;
        let (mut alive, mut silent): (Vec<&Member>, Vec<&Member>) = self
            .members
            .values()
            .filter(local)
            .partition(|member| self.is_alive(member, now));
        self.rng.shuffle(&mut alive);
        self.rng.shuffle(&mut silent);
        let enough = alive.len() >= FANOUT;
        let silent_count = if !enough {
            FANOUT - alive.len()
        } else {
            usize::from(self.rng.usize(..SILENT_ONE_IN) == 0)
        };
        alive.truncate(FANOUT);
        let silent = silent.into_iter().take(silent_count);
        alive
            .into_iter()
            .chain(silent)
            .map(|member| member.ip)
            .collect()
    }

    /// The receivers in other data centres: at most one random daemon of each.
    pub(crate) fn remote_targets(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let local = self
            .members
            .values()
            .filter(|member| member.centre == self.centre && self.is_alive(member, now));
        let probability =
            REMOTE_PER_SECOND * HEARTBEAT_PERIOD.as_secs() / (local.count() + 1) as f64;
        let mut centres: Map<Name, Vec<(bool, Ipv4Addr)>> = Map::default();
        for member in self.members.values() {
            if member.centre != self.centre {
                let known = centres.entry(member.centre.clone()).or_default();
                known.push((self.is_alive(member, now), member.ip));
            }
        }
        let mut targets = Vec::new();
        for mut members in centres.into_values() {
            let include_silent = self.rng.usize(..SILENT_ONE_IN) == 0;
            if !include_silent && members.iter().any(|(alive, _)| *alive) {
                members.retain(|(alive, _)| *alive);
            }
            if self.rng.f64() < probability {
                targets.extend(self.rng.choice(members).map(|(_, ip)| ip));
            }
        }
        targets
    }

    /// Entries for the `selected` members that are alive and have been heard since this process
    /// last resumed after a pause.
    pub(crate) fn gossip(&self, now: Time, selected: impl Fn(&Member) -> bool) -> Vec<GossipEntry> {
        let entry = |(name, member): (&Name, &Member)| {
            let heard = member.last_heard.filter(|at| *at > self.resumed)?;
            (self.is_alive(member, now) && selected(member)).then(|| GossipEntry {
                age: CoarseAge::new(now.since(heard)),
                name_hash: name_hash(name),
                stage: member.stage,
            })
        };
        self.members.iter().filter_map(entry).collect()
    }

    /// The compact form of [`Self::gossip`] about the own data centre or, if `all`, the whole fleet.
    pub(crate) fn member_ages(&self, now: Time, order: &MemberOrder, all: bool) -> MemberAges {
        let names = order.names_in((!all).then_some(&self.centre));
        let heard = |name: &&Name| {
            let member = self.members.get(*name)?;
            let heard = member.last_heard.filter(|at| *at > self.resumed)?;
            let alive = self.is_alive(member, now);
            alive.then(|| (now.since(heard), member.stage))
        };
        MemberAges {
            ages: names.iter().map(|name| pack(heard(name))).collect(),
            digest: order.digest,
        }
    }

    /// The members and this daemon, in an order that is the same at daemons that know the same ones.
    pub(crate) fn order(&mut self) -> Arc<MemberOrder> {
        let members = self.members.iter();
        let order = self.order.get_or_insert_with(|| {
            let members = members.map(|(name, member)| (name.clone(), member.centre.clone()));
            let own = (self.name.clone(), self.centre.clone());
            Arc::new(MemberOrder::new(members.chain([own]).collect()))
        });
        Arc::clone(order)
    }

    /// Whether the daemon at an address is known to have the order with this digest.
    pub(crate) fn has_order(&self, now: Time, ip: Ipv4Addr, digest: u32) -> bool {
        self.format_of(now, ip) == Format::Extended
            && self
                .members
                .values()
                .any(|member| member.ip == ip && member.digest == Some(digest))
    }

    /// Tells the sender of gossip that isn't in the compact form that this daemon knows the same
    /// members, so that the next one is.
    pub(crate) fn tell_digest(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        own: &OwnState,
    ) -> Option<RosterAction> {
        let digest = self.order().digest;
        let ages = heartbeat.ages.as_ref()?;
        if heartbeat.gossip.is_empty() || ages.digest != digest {
            return None;
        }
        self.sequence += 1;
        let mut reply = Box::new(self.heartbeat(now, own));
        reply.ages = Some(Box::new(MemberAges::only_digest(digest)));
        Some(RosterAction::Send(heartbeat.ip, reply))
    }

    /// Updates members by the compact gossip of a heartbeat, if its sender knows the same ones.
    pub(crate) fn merge_ages(
        &mut self,
        now: Time,
        sender: &Name,
        centre: &Name,
        ages: &MemberAges,
    ) {
        let order = self.order();
        if order.digest != ages.digest {
            return;
        }
        let Some(names) = order.names(centre, ages.ages.len()) else {
            return;
        };
        for (name, byte) in names.into_iter().zip(&ages.ages) {
            let (Some((age, stage)), false) = (unpack(*byte), name == sender) else {
                continue;
            };
            let heard = now.saturating_sub(age);
            if let Some(member) = self.members.get_mut(name)
                && member.last_heard.is_none_or(|at| at < heard)
            {
                member.last_heard = Some(heard);
                member.stage = stage;
            }
        }
    }

    /// A heartbeat without contacts, gossip and wanted name hashes.
    pub(crate) fn heartbeat(&self, now: Time, own: &OwnState) -> Heartbeat {
        Heartbeat {
            staleness: self.staleness(now, own),
            centre: self.centre.clone(),
            contacts: Vec::new(),
            sequence: self.sequence,
            ip: self.ip,
            incarnation: self.incarnation,
            name: self.name.clone(),
            news: None,
            revs: own.revs,
            gossip: Vec::new(),
            ages: None,
            wanted: Vec::new(),
            stage: own.stage,
            watch: own.watch,
        }
    }
}
