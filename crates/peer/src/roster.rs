use {
    crate::{Beat, Contact, Member, Row, Stage, Watch},
    fastrand::Rng,
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Map, Name, Set, Span, Time, rank},
};

/// The pause between two heartbeats.
pub const PERIOD: Span = Span::millis(200);
/// How long a daemon of the own data centre whose heartbeats stopped counts as alive.
const ALIVE_NEAR: Span = Span::millis(1_200);
/// The same for daemons of other data centres, from which heartbeats come less often.
const ALIVE_FAR: Span = Span::millis(4_000);
/// How long this process may stand still before what it heard counts as fresh again.
const STALL: Span = Span::millis(600);
/// Daemons of the own data centre that get each heartbeat.
const FANOUT: usize = 5;
/// Heartbeats a second from all daemons of one data centre to each other data centre. Bytes between
/// data centres are dear, so their number doesn't grow with the fleet.
const FAR_RATE: f64 = 5.0;
/// One heartbeat in so many goes to a daemon that isn't known to be alive.
const SEEK_ONE_IN: usize = 4;
/// The age from which on a daemon's knowledge of the site is too old to rely on the watchers.
const STALE: Span = Span::millis(1_000);
/// How long a daemon is silent before its entry is taken away.
const RETIRE: Span = Span::secs(600);
/// Daemons of which a new one is told at most, so that the message stays one datagram.
const MAX_CONTACTS: usize = 24;
/// Heartbeats by which one may be late and still count; others may have told of newer ones.
const REORDER: u32 = 5;
/// How long a daemon that isn't the first of its data centre waits for word from others before it
/// turns to the store itself.
const SETTLE: Span = Span::millis(300);

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
    /// Whether the daemons that are registered are all known.
    listed: bool,
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
            listed: false,
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
    pub fn enter(&mut self, now: Time, name: Name, centre: Name, ip: Ipv4Addr) {
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
    pub fn alive(&self, member: &Member, now: Time) -> bool {
        let span = if member.centre == self.centre {
            ALIVE_NEAR
        } else {
            ALIVE_FAR
        };
        member.heard.is_some_and(|at| now.since(at) < span)
    }

    /// How many other daemons are alive.
    pub fn count_alive(&self, now: Time) -> usize {
        let alive = |member: &&Member| self.alive(member, now);
        self.members.values().filter(alive).count()
    }

    /// Takes in that all registered daemons have been entered: others that aren't alive are
    /// forgotten.
    pub fn listed(&mut self, now: Time, registered: &Set<Name>) {
        self.listed = true;
        let alive: Set<Name> = self
            .members
            .iter()
            .filter(|(_, member)| self.alive(member, now))
            .map(|(name, _)| name.clone())
            .collect();
        self.members
            .retain(|name, _| registered.contains(name) || alive.contains(name));
    }

    /// The daemons that are gone for good, where this daemon is the one to say so: it hears most of
    /// the others, and comes first among those of its data centre that live.
    pub fn retired(&self, now: Time) -> Vec<Name> {
        let most = (self.count_alive(now) + 1) * 2 > self.members.len() + 1;
        if !most || !self.first_of(|member| self.alive(member, now)) {
            return Vec::new();
        }
        let silent = |member: &Member| now.since(member.heard.unwrap_or(member.entered));
        self.members
            .iter()
            .filter(|(_, member)| silent(member) >= RETIRE)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether this daemon has heard no other for so long that others may take it for gone.
    pub fn forsaken(&self, now: Time) -> bool {
        let silent = |member: &Member| now.since(member.heard.unwrap_or(member.entered));
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
    pub fn must_watch(&self, now: Time, own: &Own) -> bool {
        if own.stage == Stage::Leaving {
            return false;
        }
        let failing = own.watch == Watch::Failing;
        if now.since(self.began) < SETTLE {
            return self.listed && self.first_of(|_| true);
        }
        if !failing && self.age(now, own) >= STALE {
            return true;
        }
        self.first_of(|member| {
            self.alive(member, now)
                && member.stage != Stage::Leaving
                && (failing || member.watch != Watch::Failing)
        })
    }

    /// Whether this daemon comes before all others of its data centre of some kind, in an order that
    /// all compute alike.
    fn first_of(&self, kind: impl Fn(&Member) -> bool) -> bool {
        const ORDER: &str = "watch";
        let own = (rank(ORDER, &self.name), &self.name);
        !self
            .members
            .iter()
            .filter(|(_, member)| member.centre == self.centre && kind(member))
            .any(|(name, _)| (rank(ORDER, name), name) < own)
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
        self.count += 1;
        let mut near = self.near_targets(now);
        if self.count_alive(now) == 0 {
            near.extend(self.seeds.iter().filter(|ip| **ip != self.ip));
        }
        let far = self.far_targets(now);
        let mut beat = self.beat(now, own);
        beat.rows = self.rows(now, |_| true);
        let mut actions: Vec<Action> = near
            .into_iter()
            .map(|ip| Action::Send(ip, beat.clone()))
            .collect();
        if !far.is_empty() {
            beat.rows = self.rows(now, |member| member.centre == self.centre);
            let sends = far.into_iter().map(|ip| Action::Send(ip, beat.clone()));
            actions.extend(sends);
        }
        actions
    }

    /// Tells daemons of the own data centre at once that this one knows more of the site, or stands
    /// elsewhere in its life.
    pub fn announce(&mut self, now: Time, own: &Own) -> Vec<Action> {
        self.count += 1;
        let beat = self.beat(now, own);
        self.near_targets(now)
            .into_iter()
            .map(|ip| Action::Send(ip, beat.clone()))
            .collect()
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
            .or_insert_with(|| unheard(now, beat.centre.clone(), beat.ip));
        let reborn = member.life != beat.life;
        if !reborn && beat.count + REORDER < member.count {
            return Vec::new();
        }
        *member = Member {
            age: Some((beat.age, now)),
            centre: beat.centre.clone(),
            entered: member.entered,
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
        if !beat.contacts.is_empty() {
            self.seeks = false;
        }
        for contact in &beat.contacts {
            self.enter(
                now,
                contact.name.clone(),
                contact.centre.clone(),
                contact.ip,
            );
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
            let dead = member.heard.is_none_or(|at| now.since(at) >= ALIVE_NEAR);
            let newer = row.life == member.life && row.count > member.count;
            if newer || (row.life != member.life && dead) {
                member.count = row.count;
                member.life = row.life;
                member.heard = Some(now);
                member.stage = row.stage;
            }
        }
        if !rows.is_empty() {
            self.seeks = true;
        }
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

    /// Daemons of the own data centre, by chance where there are many; now and then one that isn't
    /// known to be alive.
    fn near_targets(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let near = |member: &&Member| member.centre == self.centre;
        let (mut alive, mut silent): (Vec<&Member>, Vec<&Member>) = self
            .members
            .values()
            .filter(near)
            .partition(|member| self.alive(member, now));
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
    fn far_targets(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let near = self
            .members
            .values()
            .filter(|member| member.centre == self.centre && self.alive(member, now));
        let share = FAR_RATE * PERIOD.as_secs() / (near.count() + 1) as f64;
        let mut centres: Map<Name, Vec<(bool, Ipv4Addr)>> = Map::default();
        for member in self.members.values() {
            if member.centre != self.centre {
                let known = centres.entry(member.centre.clone()).or_default();
                known.push((self.alive(member, now), member.ip));
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

    fn rows(&self, now: Time, wanted: impl Fn(&Member) -> bool) -> Vec<Row> {
        self.members
            .iter()
            .filter(|(_, member)| self.alive(member, now) && wanted(member))
            .map(|(name, member)| Row {
                count: member.count,
                key: key(name),
                life: member.life,
                stage: member.stage,
            })
            .collect()
    }

    /// A heartbeat without rows.
    fn beat(&self, now: Time, own: &Own) -> Beat {
        Beat {
            age: self.age(now, own),
            centre: self.centre.clone(),
            contacts: Vec::new(),
            count: self.count,
            ip: self.ip,
            life: self.life,
            name: self.name.clone(),
            revs: own.revs,
            rows: Vec::new(),
            seeks: self.seeks,
            stage: own.stage,
            watch: own.watch,
        }
    }
}

fn key(name: &str) -> u32 {
    // Half of the hash is dropped on purpose: rows must stay small.
    rank("row", name) as u32
}

fn unheard(now: Time, centre: Name, ip: Ipv4Addr) -> Member {
    Member {
        age: None,
        centre,
        count: 0,
        entered: now,
        heard: None,
        ip,
        life: 0,
        revs: Revs::default(),
        stage: Stage::Starting,
        watch: Watch::Off,
    }
}
