use {
    crate::{GossipEntry, Heartbeat, Member, Stage, Watch, sending::FANOUT},
    fastrand::Rng,
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Map, Name, Set, Span, Time, rank},
};

/// The pause between two heartbeats.
pub const HEARTBEAT_PERIOD: Span = Span::millis(200);
/// How long a daemon of the own data centre whose heartbeats stopped counts as alive.
const ALIVE_NEAR: Span = Span::millis(1_200);
/// The same for daemons of other data centres, of which news comes over several others. Callers may be
/// sent to one that is gone for six seconds at most.
const ALIVE_FAR: Span = Span::millis(5_000);
/// How long this process may stand still before what it heard counts as fresh again.
const STALL: Span = Span::millis(600);
/// One heartbeat in so many to the own data centre tells of the whole fleet, the others of this data
/// centre alone. From one to the next, the news is nearly everywhere within two seconds.
const FULL_ONE_IN: usize = 5;
/// Heartbeats by which a daemon that begins its life is told of others by other data centres.
const YOUNG: u32 = 25;
/// Heartbeats by which one may be late and still count.
const REORDER: u32 = 5;

/// What this daemon says of itself.
#[derive(Clone, Copy, Debug)]
pub struct OwnState {
    /// Up to where it knows the site.
    pub revs: Revs,
    /// Where it stands.
    pub stage: Stage,
    /// How it stands with the store.
    pub watch: Watch,
}

/// What is to be done for the roster.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterAction {
    /// Fetch what this daemon lacks of the site.
    Fetch(Ipv4Addr),
    /// Send a heartbeat.
    Send(Ipv4Addr, Heartbeat),
}

/// The daemons of the fleet.
#[derive(Debug)]
pub struct Roster {
    pub(crate) began: Time,
    pub(crate) centre: Name,
    pub(crate) sequence: u32,
    pub(crate) ip: Ipv4Addr,
    pub(crate) incarnation: u32,
    /// Whether the daemons that are registered are all known.
    pub(crate) listed: bool,
    pub(crate) members: Map<Name, Member>,
    pub(crate) name: Name,
    pub(crate) rng: Rng,
    /// Addresses that may belong to daemons of which nothing else is known.
    pub(crate) seeds: Vec<Ipv4Addr>,
    /// When this process last ceased to stand still. Whom it takes for alive from before may not be.
    pub(crate) stood: Time,
    /// The last heartbeat of this daemon.
    pub(crate) ticked: Time,
}

impl Roster {
    /// A roster that knows no other daemon yet.
    pub fn new(
        name: Name,
        centre: Name,
        ip: Ipv4Addr,
        seeds: Vec<Ipv4Addr>,
        now: Time,
        mut rng: Rng,
    ) -> Self {
        Self {
            began: now,
            centre,
            sequence: 0,
            ip,
            incarnation: rng.u32(..),
            listed: false,
            members: Map::default(),
            name,
            rng,
            seeds,
            stood: Time::default(),
            ticked: now,
        }
    }

    /// The other daemons.
    pub fn members(&self) -> &Map<Name, Member> {
        &self.members
    }

    /// Takes in a daemon that is registered.
    pub fn add_member(&mut self, now: Time, name: Name, centre: Name, ip: Ipv4Addr) {
        if name == self.name {
            return;
        }
        let member = self
            .members
            .entry(name)
            .or_insert_with(|| unheard(now, centre, ip));
        member.ip = ip;
    }

    /// Whether a daemon's heartbeats arrive.
    pub fn is_alive(&self, member: &Member, now: Time) -> bool {
        let span = if member.centre == self.centre {
            ALIVE_NEAR
        } else {
            ALIVE_FAR
        };
        member.last_heard.is_some_and(|at| now.since(at) < span)
    }

    /// How many other daemons are alive.
    pub fn count_alive(&self, now: Time) -> usize {
        let alive = |member: &&Member| self.is_alive(member, now);
        self.members.values().filter(alive).count()
    }

    /// Takes in that all registered daemons have been entered: others that aren't alive are
    /// forgotten.
    pub fn retain_registered(&mut self, now: Time, registered: &Set<Name>) {
        self.listed = true;
        let alive: Set<Name> = self
            .members
            .iter()
            .filter(|(_, member)| self.is_alive(member, now))
            .map(|(name, _)| name.clone())
            .collect();
        self.members
            .retain(|name, _| registered.contains(name) || alive.contains(name));
    }

    /// Sends heartbeats, when they are due.
    pub fn tick(&mut self, now: Time, own: &OwnState) -> Vec<RosterAction> {
        self.forgive_stall(now);
        self.ticked = now;
        self.sequence += 1;
        let mut targets = self.near_targets(now);
        if self.count_alive(now) == 0 {
            targets.extend(self.seeds.iter().filter(|ip| **ip != self.ip));
        }
        let near = targets.len();
        targets.extend(self.far_targets(now));
        let short = Heartbeat {
            gossip: self.rows(now, |member| member.centre == self.centre),
            ..self.beat(now, own)
        };
        let full = Heartbeat {
            gossip: self.rows(now, |_| true),
            ..short.clone()
        };
        let mut actions = Vec::new();
        for (at, ip) in targets.into_iter().enumerate() {
            let turn = self.sequence as usize * FANOUT + at;
            let all = at < near && turn.is_multiple_of(FULL_ONE_IN);
            let beat = if all { &full } else { &short };
            actions.push(RosterAction::Send(ip, beat.clone()));
        }
        actions
    }

    /// Tells daemons of the own data centre at once that this one knows more of the site, or stands
    /// elsewhere in its life.
    pub fn announce(&mut self, now: Time, own: &OwnState) -> Vec<RosterAction> {
        self.sequence += 1;
        let beat = self.beat(now, own);
        self.near_targets(now)
            .into_iter()
            .map(|ip| RosterAction::Send(ip, beat.clone()))
            .collect()
    }

    /// Takes in a heartbeat; asks its sender for what it knows further, and answers one that begins its
    /// life, that asks for daemons, or that told of some that aren't known here.
    pub fn handle_heartbeat(
        &mut self,
        now: Time,
        beat: &Heartbeat,
        own: &OwnState,
    ) -> Vec<RosterAction> {
        if beat.name == self.name {
            return Vec::new();
        }
        let Some(reborn) = self.remember(now, beat) else {
            return Vec::new();
        };
        for contact in &beat.contacts {
            self.add_member(
                now,
                contact.name.clone(),
                contact.centre.clone(),
                contact.ip,
            );
        }
        let near = beat.centre == self.centre;
        let mut unknown = self.hear_rows(now, &beat.gossip);
        if !near {
            // Bytes between data centres are dear, and a neighbour will know them soon.
            unknown.clear();
        }
        let mut actions = Vec::new();
        if beat.revs.ahead(&own.revs) {
            actions.push(RosterAction::Fetch(beat.ip));
        }
        let new = reborn && (near || beat.sequence <= YOUNG);
        let asked = new || !beat.wanted.is_empty();
        if asked || !unknown.is_empty() {
            self.sequence += 1;
            let mut answer = self.beat(now, own);
            if asked {
                answer.contacts = self.contacts(&beat.name, &beat.wanted);
            }
            answer.wanted = unknown;
            actions.push(RosterAction::Send(beat.ip, answer));
        }
        actions
    }

    /// Takes in what a daemon says of itself; tells whether it is in another life than before, and
    /// nothing where newer word of it is known.
    fn remember(&mut self, now: Time, beat: &Heartbeat) -> Option<bool> {
        let member = self
            .members
            .entry(beat.name.clone())
            .or_insert_with(|| unheard(now, beat.centre.clone(), beat.ip));
        let reborn = member.incarnation != beat.incarnation;
        if !reborn && beat.sequence + REORDER < member.sequence {
            return None;
        }
        let before = if reborn { 0 } else { member.sequence };
        *member = Member {
            staleness: Some((beat.staleness, now)),
            centre: beat.centre.clone(),
            added: member.added,
            sequence: beat.sequence.max(before),
            last_heard: Some(now),
            ip: beat.ip,
            incarnation: beat.incarnation,
            revs: beat.revs,
            stage: beat.stage,
            watch: beat.watch,
        };
        Some(reborn)
    }

    /// Takes in what another daemon heard; returns the hashes of names that aren't known here.
    fn hear_rows(&mut self, now: Time, rows: &[GossipEntry]) -> Vec<u32> {
        let mut rows: Map<u32, &GossipEntry> =
            rows.iter().map(|row| (row.name_hash, row)).collect();
        rows.remove(&key(&self.name));
        for (name, member) in &mut self.members {
            let Some(row) = rows.remove(&key(name)) else {
                continue;
            };
            let heard = now.back(row.age.span());
            if member.last_heard.is_none_or(|at| at < heard) {
                member.last_heard = Some(heard);
                member.stage = row.stage;
            }
        }
        rows.into_keys().collect()
    }

    /// After this process stood still, the others' silence says nothing of them.
    fn forgive_stall(&mut self, now: Time) {
        let gap = now.since(self.ticked);
        if gap < STALL {
            return;
        }
        self.stood = now;
        for member in self.members.values_mut() {
            if let Some(heard) = &mut member.last_heard {
                *heard = (*heard + gap).min(now);
            }
        }
    }
}

pub(crate) fn key(name: &str) -> u32 {
    // Half of the hash is dropped on purpose: rows must stay small.
    rank("row", name) as u32
}

fn unheard(now: Time, centre: Name, ip: Ipv4Addr) -> Member {
    Member {
        staleness: None,
        centre,
        sequence: 0,
        added: now,
        last_heard: None,
        ip,
        incarnation: 0,
        revs: Revs::default(),
        stage: Stage::Starting,
        watch: Watch::Off,
    }
}
