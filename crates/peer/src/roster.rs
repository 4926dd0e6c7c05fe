use {
    crate::{Beat, Contact, Member, Row, Stage, Watch},
    fastrand::Rng,
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Map, Name, Span, Time, rank},
};

/// The pause between two heartbeats.
pub const PERIOD: Span = Span::millis(200);
/// How long a daemon whose heartbeats stopped counts as alive.
const ALIVE: Span = Span::millis(1_200);
/// How long this process may stand still before what it heard counts as fresh again.
const STALL: Span = Span::millis(600);
/// In fleets up to this size each heartbeat goes to all others.
const FULL_MESH: usize = 16;
/// Daemons that get a heartbeat in larger fleets.
const FANOUT: usize = 6;
/// Daemons that watch the store for all.
const WATCHERS: usize = 3;
/// The age from which on a daemon's knowledge of the site is too old to rely on the watchers.
const STALE: Span = Span::millis(1_000);
/// Daemons of which a new one is told at most, so that the message stays one datagram.
const MAX_CONTACTS: usize = 24;
/// Heartbeats by which one may be late and still count; others may have told of newer ones.
const REORDER: u32 = 5;
/// How long a daemon waits for word from others before it turns to the store itself.
const SETTLE: Span = Span::millis(400);

/// What this daemon says of itself.
#[derive(Clone, Copy, Debug)]
pub struct Own {
    /// Up to where it knows the site.
    pub revs: Revs,
    /// Where it stands.
    pub stage: Stage,
    /// How it stands with the store.
    pub watch: Watch,
}

/// What is to be done for the roster.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Fetch what this daemon lacks of the site.
    Fetch(Ipv4Addr),
    /// Send a heartbeat.
    Send(Ipv4Addr, Beat),
}

/// The daemons of the fleet.
#[derive(Debug)]
pub struct Roster {
    began: Time,
    centre: Name,
    count: u32,
    ip: Ipv4Addr,
    life: u32,
    members: Map<Name, Member>,
    name: Name,
    rng: Rng,
    /// Addresses that may belong to daemons of which nothing else is known.
    seeds: Vec<Ipv4Addr>,
    /// Whether another daemon told of one that isn't known here.
    seeks: bool,
    /// The last heartbeat of this daemon.
    ticked: Time,
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
            count: 0,
            ip,
            life: rng.u32(..),
            members: Map::default(),
            name,
            rng,
            seeds,
            seeks: false,
            ticked: now,
        }
    }

    /// The other daemons.
    pub fn members(&self) -> &Map<Name, Member> {
        &self.members
    }

    /// Takes in a daemon that is registered.
    pub fn enter(&mut self, name: Name, centre: Name, ip: Ipv4Addr) {
        if name == self.name {
            return;
        }
        let member = self
            .members
            .entry(name)
            .or_insert_with(|| unheard(centre, ip));
        member.ip = ip;
    }

    /// Whether a daemon's heartbeats arrive.
    pub fn alive(&self, member: &Member, now: Time) -> bool {
        member.heard.is_some_and(|at| now.since(at) < ALIVE)
    }

    /// How many other daemons are alive.
    pub fn count_alive(&self, now: Time) -> usize {
        let alive = |member: &&Member| self.alive(member, now);
        self.members.values().filter(alive).count()
    }

    /// Whether this daemon is to watch the store: it is among the first of those that the store
    /// doesn't fail, or what it knows is too old. One that the store fails goes on trying only
    /// where it is among the first of all, so that an outage costs few calls.
    pub fn must_watch(&self, now: Time, own: &Own) -> bool {
        if own.stage == Stage::Leaving || now.since(self.began) < SETTLE {
            return false;
        }
        let failing = own.watch == Watch::Failing;
        if !failing && self.age(now, own) >= STALE {
            return true;
        }
        let mut all: Vec<(Name, Name)> = self
            .members
            .iter()
            .filter(|(_, member)| self.alive(member, now) && member.stage != Stage::Leaving)
            .filter(|(_, member)| failing || member.watch != Watch::Failing)
            .map(|(name, member)| (name.clone(), member.centre.clone()))
            .collect();
        all.push((self.name.clone(), self.centre.clone()));
        watchers(all).any(|name| name == self.name)
    }

    /// How old this daemon's knowledge of the site is.
    pub fn age(&self, now: Time, own: &Own) -> Span {
        if own.watch == Watch::Live {
            return Span::ZERO;
        }
        let told = self
            .members
            .values()
            .filter(|member| !member.revs.ahead(&own.revs))
            .filter_map(|member| member.age)
            .map(|(age, at)| age + now.since(at));
        told.min().unwrap_or(now.since(self.began))
    }

    /// Sends heartbeats, when they are due.
    pub fn tick(&mut self, now: Time, own: &Own) -> Vec<Action> {
        self.forgive_stall(now);
        self.ticked = now;
        let mut targets = self.targets(now);
        if self.count_alive(now) == 0 {
            targets.extend(self.seeds.iter().filter(|ip| **ip != self.ip));
        }
        self.send(now, own, targets)
    }

    /// Tells all daemons at once that this one knows more of the site.
    pub fn announce(&mut self, now: Time, own: &Own) -> Vec<Action> {
        let targets = self.targets(now);
        self.send(now, own, targets)
    }

    /// Takes in a heartbeat; asks its sender for what it knows further, and answers one that
    /// begins its life.
    pub fn hear(&mut self, now: Time, beat: &Beat, own: &Own) -> Vec<Action> {
        if beat.name == self.name {
            return Vec::new();
        }
        let member = self
            .members
            .entry(beat.name.clone())
            .or_insert_with(|| unheard(beat.centre.clone(), beat.ip));
        let reborn = member.life != beat.life;
        if !reborn && beat.count + REORDER < member.count {
            return Vec::new();
        }
        *member = Member {
            age: Some((beat.age, now)),
            centre: beat.centre.clone(),
            count: if reborn {
                beat.count
            } else {
                beat.count.max(member.count)
            },
            heard: Some(now),
            ip: beat.ip,
            life: beat.life,
            revs: beat.revs,
            stage: beat.stage,
            watch: beat.watch,
        };
        self.hear_rows(now, &beat.rows);
        for contact in &beat.contacts {
            self.enter(contact.name.clone(), contact.centre.clone(), contact.ip);
        }
        let mut actions = Vec::new();
        if beat.revs.ahead(&own.revs) {
            actions.push(Action::Fetch(beat.ip));
        }
        if reborn || beat.seeks {
            self.count += 1;
            let mut answer = self.beat(now, own);
            answer.contacts = self.contacts(&beat.name);
            // Two daemons that both seek would answer each other without end.
            answer.seeks = false;
            actions.push(Action::Send(beat.ip, answer));
        }
        actions
    }

    fn send(&mut self, now: Time, own: &Own, targets: Vec<Ipv4Addr>) -> Vec<Action> {
        self.count += 1;
        let beat = self.beat(now, own);
        targets
            .into_iter()
            .map(|ip| Action::Send(ip, beat.clone()))
            .collect()
    }

    /// Some of the daemons that a new one may not know, those that were heard first.
    fn contacts(&mut self, new: &Name) -> Vec<Contact> {
        let others = self.members.iter().filter(|(name, _)| *name != new);
        let mut contacts: Vec<Contact> = others
            .map(|(name, member)| Contact {
                centre: member.centre.clone(),
                ip: member.ip,
                name: name.clone(),
            })
            .collect();
        self.rng.shuffle(&mut contacts);
        contacts.sort_by_key(|contact| self.members[&contact.name].heard.is_none());
        contacts.truncate(MAX_CONTACTS);
        contacts
    }

    fn hear_rows(&mut self, now: Time, rows: &[Row]) {
        let mut rows: Map<u32, &Row> = rows.iter().map(|row| (row.key, row)).collect();
        rows.remove(&key(&self.name));
        for (name, member) in &mut self.members {
            let Some(row) = rows.remove(&key(name)) else {
                continue;
            };
            let dead = member.heard.is_none_or(|at| now.since(at) >= ALIVE);
            let newer = row.life == member.life && row.count > member.count;
            if newer || (row.life != member.life && dead) {
                member.count = row.count;
                member.life = row.life;
                member.heard = Some(now);
                member.stage = row.stage;
            }
        }
        self.seeks = !rows.is_empty();
    }

    /// After this process stood still, the others' silence says nothing of them.
    fn forgive_stall(&mut self, now: Time) {
        let gap = now.since(self.ticked);
        if gap < STALL {
            return;
        }
        for member in self.members.values_mut() {
            if let Some(heard) = &mut member.heard {
                *heard = (*heard + gap).min(now);
            }
        }
    }

    fn targets(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let mut ips: Vec<Ipv4Addr> = self.members.values().map(|member| member.ip).collect();
        if ips.len() <= FULL_MESH {
            return ips;
        }
        let alive: Vec<Ipv4Addr> = self
            .members
            .values()
            .filter(|member| self.alive(member, now))
            .map(|member| member.ip)
            .collect();
        if alive.len() >= FANOUT {
            ips = alive;
        }
        self.rng.shuffle(&mut ips);
        ips.truncate(FANOUT);
        ips
    }

    fn beat(&self, now: Time, own: &Own) -> Beat {
        let rows = self
            .members
            .iter()
            .filter(|(_, member)| self.alive(member, now))
            .map(|(name, member)| Row {
                count: member.count,
                key: key(name),
                life: member.life,
                stage: member.stage,
            });
        Beat {
            age: self.age(now, own),
            centre: self.centre.clone(),
            contacts: Vec::new(),
            count: self.count,
            ip: self.ip,
            life: self.life,
            name: self.name.clone(),
            revs: own.revs,
            rows: rows.collect(),
            seeks: self.seeks,
            stage: own.stage,
            watch: own.watch,
        }
    }
}

/// The first daemons in an order that puts one of each data centre before a second of any.
fn watchers(mut all: Vec<(Name, Name)>) -> impl Iterator<Item = Name> {
    const ORDER: &str = "watch";
    all.sort_by_key(|(name, _)| (rank(ORDER, name), name.clone()));
    let mut seen: Map<Name, usize> = Map::default();
    let mut placed: Vec<(usize, Name)> = all
        .into_iter()
        .map(|(name, centre)| {
            let before = seen.entry(centre).or_default();
            *before += 1;
            (*before, name)
        })
        .collect();
    placed.sort_by_key(|(place, _)| *place);
    placed.into_iter().take(WATCHERS).map(|(_, name)| name)
}

fn key(name: &str) -> u32 {
    // Half of the hash is dropped on purpose: rows must stay small.
    rank("row", name) as u32
}

fn unheard(centre: Name, ip: Ipv4Addr) -> Member {
    Member {
        age: None,
        centre,
        count: 0,
        heard: None,
        ip,
        life: 0,
        revs: Revs::default(),
        stage: Stage::Starting,
        watch: Watch::Off,
    }
}
