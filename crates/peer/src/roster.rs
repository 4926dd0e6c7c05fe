//! The state of gossip: which daemons are known, and when each was last heard.

use {
    crate::{
        Format, GossipEntry, Heartbeat, Member, MemberAges, Stage, Watch, gossip::FANOUT,
        handshake::Handshake, member_ages::MemberOrder,
    },
    fastrand::Rng,
    site::Revs,
    std::{net::Ipv4Addr, sync::Arc},
    unit::{Map, Name, Set, Span, Time, rendezvous_weight},
};

/// The time between two regular heartbeats.
pub const HEARTBEAT_PERIOD: Span = Span::millis(200);
/// How long after it was last heard a daemon of the own data centre counts as alive.
const LOCAL_TIMEOUT: Span = Span::millis(1_200);
/// The same for daemons of other data centres, which are mostly heard through gossip that several
/// daemons pass on. Callers may be directed to a dead daemon for at most six seconds.
const REMOTE_TIMEOUT: Span = Span::millis(5_000);
/// If two ticks are at least this far apart, this process was paused, and the gap doesn't count as
/// silence of the members.
const PAUSE_THRESHOLD: Span = Span::millis(600);
/// How long after a pause of this process a member counts as alive without being heard again. Gossip
/// brings nearly all members within two seconds; users' bounds hold again after three.
const RESUME_GRACE: Span = Span::millis(2_800);
/// One in this many heartbeats within the data centre carries gossip about the whole fleet, the
/// others only about this data centre. Passed on from daemon to daemon, gossip reaches nearly all
/// daemons within two seconds.
const FULL_ONE_IN: usize = 5;
/// One in this many heartbeats from another data centre that report unknown members is answered
/// with a request for their contacts.
const REMOTE_WANTED_ONE_IN: usize = 4;
/// The sequence number up to which daemons of other data centres send contacts to a daemon that has
/// just started.
const MAX_STARTUP_SEQUENCE: u32 = 25;
/// How far a heartbeat's sequence number may lie behind the highest one received and still be
/// accepted.
const REORDER_WINDOW: u32 = 5;

/// What this daemon reports about itself.
#[derive(Clone, Copy, Debug)]
pub struct OwnState {
    /// The revisions up to which it knows the site.
    pub revs: Revs,
    /// Its lifecycle stage.
    pub stage: Stage,
    /// The state of its watch on the store.
    pub watch: Watch,
}

/// What the daemon is to do for its [`Roster`].
#[derive(Clone, Debug, PartialEq)]
pub enum RosterAction {
    /// Fetch the site changes that this daemon lacks from the daemon at the address, which reads
    /// extended messages.
    Fetch(Ipv4Addr),
    /// Send the heartbeat to the address in the extended form, to learn whether it is read there.
    Offer(Ipv4Addr, Box<Heartbeat>),
    /// Send the heartbeat to the address in the form that is read there.
    Send(Ipv4Addr, Box<Heartbeat>),
}

/// The other daemons of the fleet, and the gossip that keeps them known.
#[derive(Debug)]
pub struct Roster {
    pub(crate) started: Time,
    pub(crate) centre: Name,
    /// The heartbeats made since the start; one that goes to several daemons counts once.
    pub(crate) sequence: u32,
    pub(crate) ip: Ipv4Addr,
    /// The random number that sets this process run apart from earlier ones of the same name.
    pub(crate) incarnation: u32,
    /// Whether all registered daemons have been added.
    pub(crate) registry_known: bool,
    pub(crate) members: Map<Name, Member>,
    pub(crate) name: Name,
    /// The members and this daemon; `None` after one was added or removed.
    pub(crate) order: Option<Arc<MemberOrder>>,
    pub(crate) rng: Rng,
    /// Addresses that may belong to daemons of which nothing else is known.
    pub(crate) seeds: Vec<Ipv4Addr>,
    /// When this process last resumed after a pause. Members last heard before that may be dead
    /// even if they count as alive.
    pub(crate) resumed: Time,
    /// When this daemon last sent its regular heartbeats.
    pub(crate) last_tick: Time,
}

impl Roster {
    /// Creates a roster without members. While no member is alive, heartbeats also go to the
    /// `seeds`.
    pub fn new(
        name: Name,
        centre: Name,
        ip: Ipv4Addr,
        seeds: Vec<Ipv4Addr>,
        now: Time,
        mut rng: Rng,
    ) -> Self {
        Self {
            started: now,
            centre,
            sequence: 0,
            ip,
            incarnation: rng.u32(..),
            registry_known: false,
            members: Map::default(),
            name,
            order: None,
            rng,
            seeds,
            resumed: Time::default(),
            last_tick: now,
        }
    }

    /// The other daemons, by name.
    pub fn members(&self) -> &Map<Name, Member> {
        &self.members
    }

    /// The random number that tells this process run of the daemon from earlier ones.
    pub const fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Which messages are sent to an address: those that the daemon there reads, or the one that was
    /// heard last if several members had the address. One that isn't alive gets legacy messages,
    /// since it may have been started again with an earlier build.
    pub fn format_of(&self, now: Time, ip: Ipv4Addr) -> Format {
        let members = self.members.values().filter(|member| member.ip == ip);
        let last = members.max_by_key(|member| member.last_heard);
        last.filter(|member| self.is_alive(member, now))
            .map_or(Format::Legacy, |member| member.format)
    }

    /// Adds a daemon, or updates its address if it is known. The own name is ignored.
    pub fn add_member(&mut self, now: Time, name: Name, centre: Name, ip: Ipv4Addr) {
        if name == self.name {
            return;
        }
        let order = &mut self.order;
        let member = self.members.entry(name).or_insert_with(|| {
            *order = None;
            unheard_member(now, centre, ip)
        });
        member.ip = ip;
    }

    /// Whether a member was heard recently enough to count as alive.
    pub fn is_alive(&self, member: &Member, now: Time) -> bool {
        let timeout = timeout(member.centre == self.centre);
        member.last_heard.is_some_and(|at| now.since(at) < timeout)
    }

    /// Whether all registered daemons have been added.
    pub const fn knows_registry(&self) -> bool {
        self.registry_known
    }

    /// How many other daemons are alive.
    pub fn count_alive(&self, now: Time) -> usize {
        let alive = |member: &&Member| self.is_alive(member, now);
        self.members.values().filter(alive).count()
    }

    /// Removes the members that are neither `registered` nor alive. To be called once all
    /// registered daemons have been added.
    pub fn retain_registered(&mut self, now: Time, registered: &Set<Name>) {
        self.registry_known = true;
        self.order = None;
        let alive: Set<Name> = self
            .members
            .iter()
            .filter(|(_, member)| self.is_alive(member, now))
            .map(|(name, _)| name.clone())
            .collect();
        self.members
            .retain(|name, _| registered.contains(name) || alive.contains(name));
    }

    /// Sends the regular heartbeats. To be called once in each [`HEARTBEAT_PERIOD`].
    pub fn tick(&mut self, now: Time, own: &OwnState) -> Vec<RosterAction> {
        self.compensate_pause(now);
        self.last_tick = now;
        self.sequence += 1;
        let mut targets = self.local_targets(now);
        if self.count_alive(now) == 0 {
            targets.extend(self.seeds.iter().filter(|ip| **ip != self.ip));
        }
        let local_count = targets.len();
        targets.extend(self.remote_targets(now));
        let short = Heartbeat {
            gossip: self.gossip(now, |member| member.centre == self.centre),
            ..self.heartbeat(now, own)
        };
        let full = Heartbeat {
            gossip: self.gossip(now, |_| true),
            ..short.clone()
        };
        let order = self.order();
        let short_ages = self.member_ages(now, &order, false);
        let full_ages = self.member_ages(now, &order, true);
        let mut actions = Vec::new();
        for (index, ip) in targets.into_iter().enumerate() {
            let turn = self.sequence as usize * FANOUT + index;
            let is_full = index < local_count && turn.is_multiple_of(FULL_ONE_IN);
            let (gossip, ages) = if is_full {
                (&full, &full_ages)
            } else {
                (&short, &short_ages)
            };
            let mut heartbeat = Box::new(gossip.clone());
            if self.has_order(now, ip, order.digest) {
                heartbeat.gossip.clear();
                heartbeat.ages = Some(Box::new(ages.clone()));
            } else {
                // The receiver ignores what is said of itself.
                let receiver = self.hash_at(ip);
                heartbeat
                    .gossip
                    .retain(|entry| Some(entry.name_hash) != receiver);
                heartbeat.ages = Some(Box::new(MemberAges::only_digest(order.digest)));
            }
            actions.push(RosterAction::Send(ip, heartbeat));
        }
        actions
    }

    /// The name hash of the member at an address.
    fn hash_at(&self, ip: Ipv4Addr) -> Option<u32> {
        let mut members = self.members.iter();
        let member = members.find(|(_, member)| member.ip == ip);
        member.map(|(name, _)| name_hash(name))
    }

    /// Sends heartbeats to daemons of the own data centre at once, after this daemon's stage or its
    /// view of the site has changed.
    pub fn announce(&mut self, now: Time, own: &OwnState) -> Vec<RosterAction> {
        self.sequence += 1;
        let heartbeat = self.heartbeat(now, own);
        self.local_targets(now)
            .into_iter()
            .map(|ip| RosterAction::Send(ip, Box::new(heartbeat.clone())))
            .collect()
    }

    /// Handles a heartbeat that was received in the form `format`. Fetches from its sender if that
    /// knows more of the site and reads extended messages. Replies if the sender has just started or
    /// is new here, asks for contacts, or reports members that aren't known here.
    pub fn handle_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        format: Format,
        own: &OwnState,
    ) -> Vec<RosterAction> {
        if heartbeat.name == self.name {
            return Vec::new();
        }
        let Some(new_incarnation) = self.update_sender(now, heartbeat) else {
            return Vec::new();
        };
        let offer = self.shake_hands(now, heartbeat, format, own);
        for contact in &heartbeat.contacts {
            self.add_member(
                now,
                contact.name.clone(),
                contact.centre.clone(),
                contact.ip,
            );
        }
        let local = heartbeat.centre == self.centre;
        if let Some(ages) = &heartbeat.ages {
            self.merge_ages(now, &heartbeat.name, &heartbeat.centre, ages);
        }
        let mut unknown = self.merge_gossip(now, &heartbeat.gossip);
        if !local && self.rng.usize(..REMOTE_WANTED_ONE_IN) != 0 {
            // Traffic between data centres is expensive, and another daemon of this data centre
            // likely knows these members already, and will soon tell.
            unknown.clear();
        }
        let mut actions = Vec::new();
        if local && let Some(reply) = self.tell_digest(now, heartbeat, own) {
            actions.push(reply);
        }
        let reads_extended = self
            .members
            .get(&heartbeat.name)
            .is_some_and(|member| member.format == Format::Extended);
        if reads_extended && heartbeat.revs.ahead(&own.revs) {
            actions.push(RosterAction::Fetch(heartbeat.ip));
        }
        let is_new = new_incarnation && (local || heartbeat.sequence <= MAX_STARTUP_SEQUENCE);
        let needs_contacts = is_new || !heartbeat.wanted.is_empty();
        if needs_contacts || !unknown.is_empty() {
            self.sequence += 1;
            let mut reply = self.heartbeat(now, own);
            if needs_contacts {
                reply.contacts = self.contacts(&heartbeat.name, &heartbeat.wanted);
            }
            reply.wanted = unknown;
            actions.push(RosterAction::Send(heartbeat.ip, Box::new(reply)));
        }
        // The contacts go first, so that the receiver's own reply can pass them on.
        actions.extend(offer);
        actions
    }

    /// Learns from the form of a heartbeat which messages its sender reads. Offers an extended
    /// heartbeat to a sender of which that isn't known, and answers such an offer with one.
    fn shake_hands(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        format: Format,
        own: &OwnState,
    ) -> Option<RosterAction> {
        let member = self.members.get_mut(&heartbeat.name)?;
        let offers = match (member.format, format) {
            (Format::Extended, _) => false,
            (Format::Legacy, Format::Extended) => {
                member.format = Format::Extended;
                !member.handshake.has_begun()
            }
            (Format::Legacy, Format::Legacy) => member.handshake.take_offer(now),
        };
        if !offers {
            return None;
        }
        // It doesn't count in the sequence: the first heartbeats after a start are answered with
        // contacts, and many offers would use up their numbers.
        let reply = Box::new(self.heartbeat(now, own));
        Some(RosterAction::Offer(heartbeat.ip, reply))
    }

    /// Updates the member that sent a heartbeat. Returns whether its incarnation is a new one, or
    /// `None` if the heartbeat is outdated.
    fn update_sender(&mut self, now: Time, heartbeat: &Heartbeat) -> Option<bool> {
        let order = &mut self.order;
        let member = self
            .members
            .entry(heartbeat.name.clone())
            .or_insert_with(|| {
                *order = None;
                unheard_member(now, heartbeat.centre.clone(), heartbeat.ip)
            });
        if member.centre != heartbeat.centre {
            *order = None;
        }
        let new_incarnation = member.incarnation != heartbeat.incarnation;
        if !new_incarnation && heartbeat.sequence + REORDER_WINDOW < member.sequence {
            return None;
        }
        let (previous, format, handshake, digest) = if new_incarnation {
            (0, Format::Legacy, Handshake::default(), None)
        } else {
            (
                member.sequence,
                member.format,
                member.handshake,
                member.digest,
            )
        };
        let ages = heartbeat.ages.as_ref();
        *member = Member {
            digest: ages.map(|ages| ages.digest).or(digest),
            staleness: Some((heartbeat.staleness, now)),
            centre: heartbeat.centre.clone(),
            added: member.added,
            sequence: heartbeat.sequence.max(previous),
            last_heard: Some(now),
            format,
            handshake,
            ip: heartbeat.ip,
            incarnation: heartbeat.incarnation,
            revs: heartbeat.revs,
            stage: heartbeat.stage,
            watch: heartbeat.watch,
        };
        Some(new_incarnation)
    }

    /// Updates members by what another daemon last heard about them. Returns the name hashes that
    /// aren't known here.
    fn merge_gossip(&mut self, now: Time, gossip: &[GossipEntry]) -> Vec<u32> {
        let mut entries: Map<u32, &GossipEntry> = gossip
            .iter()
            .map(|entry| (entry.name_hash, entry))
            .collect();
        entries.remove(&name_hash(&self.name));
        for (name, member) in &mut self.members {
            let Some(entry) = entries.remove(&name_hash(name)) else {
                continue;
            };
            let heard = now.saturating_sub(entry.age.span());
            if member.last_heard.is_none_or(|at| at < heard) {
                member.last_heard = Some(heard);
                member.stage = entry.stage;
            }
        }
        entries.into_keys().collect()
    }

    /// Moves the times when members were last heard by the length of a pause of this process, since
    /// their silence during it doesn't mean that they are dead. Those that aren't heard soon are taken
    /// for dead all the same.
    fn compensate_pause(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.resumed = now;
        for member in self.members.values_mut() {
            let timeout = timeout(member.centre == self.centre);
            let latest = (now + RESUME_GRACE).saturating_sub(timeout).min(now);
            if let Some(heard) = &mut member.last_heard {
                *heard = (*heard + gap).min(latest).max(*heard);
            }
        }
    }
}

/// How long after it was last heard a member counts as alive; `local` ones are of the own data centre.
const fn timeout(local: bool) -> Span {
    if local { LOCAL_TIMEOUT } else { REMOTE_TIMEOUT }
}

/// The hash that stands for a daemon's name in gossip.
pub(crate) fn name_hash(name: &str) -> u32 {
    // Half of the hash is dropped to keep gossip entries small.
    rendezvous_weight("row", name) as u32
}

/// A member that has not been heard yet.
fn unheard_member(now: Time, centre: Name, ip: Ipv4Addr) -> Member {
    Member {
        digest: None,
        staleness: None,
        centre,
        sequence: 0,
        added: now,
        last_heard: None,
        format: Format::Legacy,
        handshake: Handshake::default(),
        ip,
        incarnation: 0,
        revs: Revs::default(),
        stage: Stage::Starting,
        watch: Watch::Off,
    }
}
