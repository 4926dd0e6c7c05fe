use {
    crate::{Beat, Candidate, MemberReport, Standing, ViewReport, member::Member},
    serde::Serialize,
    std::collections::{BTreeMap, VecDeque},
    unit::{Name, Span, Time, digest},
};

/// The least time between two heartbeats to one peer.
const BEAT: Span = Span::millis(400);
/// Added for each peer, so that a larger fleet costs a daemon no more.
const BEAT_EACH: Span = Span::millis(32);
/// Heartbeats without an answer after which a peer is gone.
const MISSED: u64 = 3;
/// Heartbeats in a row after which a peer that was gone is back.
const BACK: u32 = 3;
/// Sent heartbeats whose times are remembered.
const SENT: usize = 16;

/// What happens to a view.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewEvent {
    /// A peer's link broke and could not be opened again.
    Down(Name),
    /// A heartbeat came.
    Heard(Name, Beat),
    /// What else decides about homes changed: a digest of it.
    Inputs(u64),
    /// The daemons of this region that the platform lists.
    Listed(Vec<Candidate>),
    /// This daemon moved on in its life.
    Standing(Standing),
    /// Time has passed.
    Tick,
}

/// What the shell is to do for a view.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum ViewAction {
    /// Send a heartbeat to a peer; the shell fills in generation and list.
    Beat(Name, Beat),
    /// The daemons that serve are others than before.
    Changed,
}

/// Who is alive, as one daemon sees it, and when it may act alone for its workers.
///
/// A daemon may feed cold workers and use a home's measuring budget only while a majority of the
/// listed daemons, itself included, supports the very view that it has. A daemon supports a view
/// only after it has had it for `settle`, which is longer than any support that it gave before.
/// So two daemons that may act at the same time share a supporter, hence a view, hence every
/// worker's home.
#[derive(Clone, Debug)]
pub struct View {
    /// When the view last changed.
    changed: Time,
    /// Counts the changes.
    epoch: u64,
    inputs: u64,
    life: u64,
    me: Name,
    members: BTreeMap<Name, Member>,
    /// When the next heartbeats are due.
    next: Time,
    own: Option<Candidate>,
    /// Numbers and times of the newest heartbeats sent.
    sent: VecDeque<(u64, Time)>,
    seq: u64,
    standing: Standing,
}

impl View {
    /// The view of a daemon that has just started a life.
    pub fn new(now: Time, me: Name, life: u64) -> Self {
        Self {
            changed: now,
            epoch: 1,
            inputs: 0,
            life,
            me,
            members: BTreeMap::new(),
            next: now,
            own: None,
            sent: VecDeque::new(),
            // Numbers of an earlier life must not be taken for this one's.
            seq: (life >> 16).max(1),
            standing: Standing::Joining,
        }
    }

    /// Takes an event and adds to `out` what to do.
    pub fn step(&mut self, now: Time, event: ViewEvent, out: &mut Vec<ViewAction>) {
        let before = self.digest();
        match event {
            ViewEvent::Down(name) => self.down(&name),
            ViewEvent::Heard(name, beat) => self.heard(now, &name, &beat),
            ViewEvent::Inputs(inputs) => self.inputs = inputs,
            ViewEvent::Listed(listed) => self.listed(listed),
            ViewEvent::Standing(standing) => {
                self.standing = standing;
                self.next = now;
            }
            ViewEvent::Tick => self.expire(now),
        }
        if self.digest() != before {
            self.changed = now;
            self.epoch += 1;
            out.push(ViewAction::Changed);
        }
        if now >= self.next {
            self.beat(now, out);
        }
    }

    /// The daemons that serve, this one included, in the order of their names.
    pub fn serving(&self) -> Vec<Candidate> {
        let others = self.members.iter().filter(|(_, member)| member.serves());
        let others = others.map(|(name, member)| Candidate {
            centre: member.centre.clone(),
            name: name.clone(),
        });
        let own = self
            .own
            .clone()
            .filter(|_| self.standing == Standing::Serving);
        let mut all: Vec<Candidate> = others.chain(own).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// The number of the present view; another view has another number.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The listed daemons, this one included if it is listed.
    pub fn listed_names(&self) -> Vec<Name> {
        let own = self.own.iter().map(|own| own.name.clone());
        self.members.keys().cloned().chain(own).collect()
    }

    /// The life of a daemon that serves.
    pub fn life(&self, name: &Name) -> Option<u64> {
        if *name == self.me {
            return Some(self.life);
        }
        self.members
            .get(name)
            .filter(|member| member.up)
            .map(|member| member.life)
    }

    /// Until when this daemon may feed cold workers and use its homes' measuring budgets.
    pub fn feed(&self, now: Time) -> Time {
        let Some(own) = self.settled(now) else {
            return Time::ZERO;
        };
        let lease = self.lease();
        let mut ends: Vec<Time> = self
            .members
            .values()
            .filter_map(|member| member.support)
            .filter(|(view, _)| *view == own)
            .map(|(_, at)| at + lease)
            .collect();
        ends.sort_unstable();
        let others = self.members.len().div_ceil(2);
        match (others, ends.len().checked_sub(others)) {
            // Alone in the list: a lease from itself.
            (0, _) => now + lease,
            (_, Some(at)) => ends.get(at).copied().unwrap_or_default(),
            (_, None) => Time::ZERO,
        }
    }

    /// Whether most listed daemons, this one included, can be heard.
    pub fn majority(&self) -> bool {
        let heard = self.members.values().filter(|member| member.up).count();
        heard >= self.members.len().div_ceil(2)
    }

    /// Its state, for the dump.
    pub fn report(&self, now: Time) -> ViewReport {
        let describe = |(name, member): (&Name, &Member)| MemberReport {
            centre: member.centre.clone(),
            heard_ms: member.heard.map(|at| (now - at).as_millis()),
            life: member.life,
            name: name.clone(),
            standing: member.standing,
            up: member.up,
        };
        ViewReport {
            feed_ms: self.feed(now).since(now).as_millis(),
            members: self.members.iter().map(describe).collect(),
            settled: self.settled(now).is_some(),
            standing: self.standing,
        }
    }

    /// The time between two heartbeats to one peer.
    pub fn interval(&self) -> Span {
        BEAT.max(BEAT_EACH * self.members.len() as u64)
    }

    /// How long a support is good for, and how long a silent peer is taken as alive.
    fn lease(&self) -> Span {
        self.interval() * MISSED
    }

    /// How long a view must have lasted before it is supported: longer than any lease that a
    /// daemon with a slightly longer list may have.
    fn settle(&self) -> Span {
        self.lease() + self.lease() / 4
    }

    /// The digest of this view, once it has lasted long enough.
    fn settled(&self, now: Time) -> Option<u64> {
        (now - self.changed >= self.settle()).then(|| self.digest())
    }

    fn digest(&self) -> u64 {
        let listed = self.listed_names();
        let mut names: Vec<&str> = listed.iter().map(|name| &**name).collect();
        names.sort_unstable();
        let serving = self.serving();
        let life = |name: &Name| self.life(name).unwrap_or_default().to_string();
        let lives: Vec<String> = serving
            .iter()
            .map(|own| format!("{}:{}", own.name, life(&own.name)))
            .collect();
        let inputs = self.inputs.to_string();
        let parts = names.into_iter().chain(lives.iter().map(String::as_str));
        digest(parts.chain([inputs.as_str()]))
    }

    fn down(&mut self, name: &Name) {
        if let Some(member) = self.members.get_mut(name) {
            member.drop_out();
        }
    }

    fn heard(&mut self, now: Time, name: &Name, beat: &Beat) {
        let sent = self
            .sent
            .iter()
            .find(|(seq, _)| *seq == beat.echo)
            .map(|(_, at)| *at);
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if beat.life == member.life && beat.seq <= member.seq {
            return;
        }
        if beat.life != member.life {
            member.drop_out();
            member.life = beat.life;
        }
        member.heard = Some(now);
        member.seq = beat.seq;
        member.standing = beat.standing;
        member.run += 1;
        // A beat that echoes none of ours may come from a peer that can't hear us.
        member.up |= sent.is_some() && (member.run >= BACK || member.support.is_none());
        member.support = sent.and_then(|at| Some((beat.digest?, at)));
    }

    fn listed(&mut self, listed: Vec<Candidate>) {
        let me = self.me.clone();
        self.own = listed.iter().find(|own| own.name == me).cloned();
        let mut old = std::mem::take(&mut self.members);
        for candidate in listed.into_iter().filter(|other| other.name != me) {
            let known = old.remove(&candidate.name);
            let member = known.unwrap_or_else(|| Member::new(candidate.centre.clone()));
            self.members.insert(candidate.name, member);
        }
    }

    fn expire(&mut self, now: Time) {
        let lease = self.lease();
        let silent = |member: &Member| member.heard.is_none_or(|at| now - at > lease);
        for member in self.members.values_mut().filter(|member| silent(member)) {
            member.drop_out();
        }
    }

    fn beat(&mut self, now: Time, out: &mut Vec<ViewAction>) {
        self.next = now + self.interval();
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > SENT {
            self.sent.pop_front();
        }
        let digest = self.settled(now);
        for (name, member) in &self.members {
            let beat = Beat {
                digest,
                echo: member.seq,
                generation: 0,
                life: self.life,
                list: 0,
                seq: self.seq,
                standing: self.standing,
            };
            out.push(ViewAction::Beat(name.clone(), beat));
        }
    }
}
