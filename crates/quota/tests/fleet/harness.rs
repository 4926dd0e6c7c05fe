//! A fleet in virtual time: daemons with clocks of their own, datagrams that take time, are lost or
//! doubled, and callers.

use {
    conf::QuotaBounds,
    fastrand::Rng,
    peer::Datagram,
    quota::{Admission, Message, Quota, QuotaAction, QuotaEvent, RequestId, SHARDS, Voter},
    site::Account,
    std::{cmp::Reverse, collections::BinaryHeap, net::Ipv4Addr},
    unit::{Map, Name, Rate, Set, Span, Time},
};

/// The longest time that a request waits for a token.
const MAX_WAIT: Span = Span::millis(150);
/// After this time the other daemons take one that is silent for dead.
const DETECTION: Span = Span::secs(3);

/// The most events at one moment.
const MAX_TURNS: usize = 100_000;

pub(crate) const BOUNDS: QuotaBounds = QuotaBounds {
    overshoot: 0.1,
    slack: 20.0,
    window: Span::secs(5),
};

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Datagram(usize, usize, Message),
    /// A caller's request: account and daemon.
    Request(usize, usize),
    /// The daemons learn which others are alive.
    Detect,
    Tick(usize),
}

/// A simulated daemon.
pub(crate) struct Node {
    pub(crate) alive: bool,
    /// Bytes of the datagrams that it sent and received.
    pub(crate) bytes: usize,
    pub(crate) frozen: bool,
    /// What arrived while it was frozen.
    held: Vec<Event>,
    /// The simulation's time at which its clock shows zero.
    origin: Time,
    pub(crate) quota: Quota,
    scheduled: Time,
}

/// What became of an account's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) admitted: Vec<Time>,
    pub(crate) refused: Vec<Time>,
}

impl Record {
    /// The most requests admitted in any window of this length.
    pub(crate) fn most_in(&self, window: Span) -> usize {
        let mut first = 0;
        let mut most = 0;
        for (index, at) in self.admitted.iter().enumerate() {
            while at.since(self.admitted[first]) > window {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        most
    }

    /// The share of the requests since a time that were refused.
    pub(crate) fn refused_share(&self, since: Time) -> f64 {
        let count = |times: &[Time]| times.iter().filter(|at| **at >= since).count() as f64;
        let (admitted, refused) = (count(&self.admitted), count(&self.refused));
        refused / (admitted + refused).max(1.0)
    }

    pub(crate) fn admitted_since(&self, since: Time) -> usize {
        self.admitted.iter().filter(|at| **at >= since).count()
    }
}

pub(crate) struct Fleet {
    pub(crate) accounts: Vec<Account>,
    /// Groups of daemons; datagrams between different groups are lost.
    pub(crate) groups: Vec<usize>,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    /// The events in `events`, by their serial number.
    bodies: Map<usize, Event>,
    /// The probability that a datagram is doubled.
    pub(crate) doubled: f64,
    /// The probability that a datagram is lost.
    pub(crate) loss: f64,
    /// The longest time that a datagram takes; the shortest is a tenth.
    pub(crate) delay: Span,
    next_id: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Time,
    pub(crate) records: Vec<Record>,
    pub(crate) rng: Rng,
    serial: usize,
    /// Which daemons don't know of which other ones that joined.
    strangers: Set<(usize, usize)>,
    waiting: Map<RequestId, usize>,
    /// How often a daemon became grantor.
    pub(crate) tenures: usize,
}

pub(crate) fn ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + index as u32)
}

fn index_of(ip: Ipv4Addr) -> usize {
    (u32::from(ip) - 0x0a00_0001) as usize
}

pub(crate) fn account(index: usize, rate: f64, burst: u32) -> Account {
    Account {
        burst,
        keys: Vec::new(),
        name: Name::from(format!("account-{index}").as_str()),
        priority: None,
        rate: Rate::per_second(rate),
    }
}

pub(crate) fn bound(account: &Account) -> f64 {
    let rate = account.rate.map_or(0.0, Rate::as_per_second);
    let quota = rate * BOUNDS.window.as_secs() + f64::from(account.burst);
    quota * (1.0 + BOUNDS.overshoot) + BOUNDS.slack
}

impl Fleet {
    pub(crate) fn new(size: usize, seed: u64, quotas: &[(f64, u32)]) -> Self {
        let accounts: Vec<Account> = quotas
            .iter()
            .enumerate()
            .map(|(index, (rate, burst))| account(index, *rate, *burst))
            .collect();
        let mut fleet = Self {
            records: vec![Record::default(); accounts.len()],
            accounts,
            groups: vec![0; size],
            events: BinaryHeap::new(),
            bodies: Map::default(),
            doubled: 0.0,
            loss: 0.0,
            delay: Span::micros(1_500),
            next_id: 0,
            nodes: Vec::new(),
            now: Time::at(Span::secs(1_000)),
            rng: Rng::with_seed(seed),
            serial: 0,
            strangers: Set::default(),
            waiting: Map::default(),
            tenures: 0,
        };
        for index in 0..size {
            let node = fleet.new_node(index);
            fleet.nodes.push(node);
        }
        fleet.detect();
        for index in 0..size {
            fleet.schedule(fleet.now, Event::Tick(index));
        }
        fleet
    }

    fn new_node(&mut self, index: usize) -> Node {
        // Every clock has another origin, so no time of one daemon means anything to another.
        let origin = self
            .now
            .saturating_sub(Span::millis(self.rng.u64(0..900_000)));
        let local = Time::at(self.now.since(origin));
        let mut quota = Quota::new(ip(index), local, self.rng.fork());
        quota.configure(local, &self.accounts, Some(BOUNDS));
        Node {
            alive: true,
            bytes: 0,
            frozen: false,
            held: Vec::new(),
            origin,
            quota,
            scheduled: self.now,
        }
    }

    /// Runs for a time.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        let mut turns = 0;
        while let Some(Reverse((at, _, serial))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            // Guards against a daemon whose next tick stays in the past.
            turns = if at == self.now { turns + 1 } else { 0 };
            assert!(turns < MAX_TURNS, "daemons do not come to rest");
            self.now = at;
            if let Some(event) = self.bodies.remove(&serial) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Adds requests of an account in the next `span`, at random times. Each goes to one of `nodes`.
    pub(crate) fn add_load(&mut self, account: usize, rate: f64, span: Span, nodes: &[usize]) {
        let mut at = self.now;
        let end = self.now + span;
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / rate;
            at = at + Span::from_secs(gap);
            if at >= end {
                return;
            }
            let node = nodes[self.rng.usize(..nodes.len())];
            self.schedule(at, Event::Request(account, node));
        }
    }

    /// Adds a request of an account that comes now.
    pub(crate) fn add_request(&mut self, account: usize, node: usize) {
        self.schedule(self.now, Event::Request(account, node));
    }

    pub(crate) fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.alive = false;
        node.held.clear();
        self.schedule(self.now + DETECTION, Event::Detect);
    }

    /// Starts a daemon again, under its former name and address.
    pub(crate) fn restart(&mut self, index: usize) {
        let bytes = self.nodes[index].bytes;
        self.nodes[index] = self.new_node(index);
        self.nodes[index].bytes = bytes;
        self.detect();
        self.schedule(self.now, Event::Tick(index));
    }

    pub(crate) fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = true;
    }

    pub(crate) fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        for event in std::mem::take(&mut self.nodes[index].held) {
            self.handle(event);
        }
    }

    /// Cuts the links between the daemons of `part` and the others.
    pub(crate) fn split(&mut self, part: &[usize]) {
        for index in part {
            self.groups[*index] = 1;
        }
        self.schedule(self.now + DETECTION, Event::Detect);
    }

    pub(crate) fn heal(&mut self) {
        self.groups.fill(0);
        self.strangers.clear();
        self.schedule(self.now, Event::Detect);
    }

    /// Adds daemons to the first group; those of another one don't learn of them before it heals.
    pub(crate) fn grow(&mut self, count: usize) {
        for _ in 0..count {
            let index = self.nodes.len();
            let cut_off = (0..index).filter(|other| self.groups[*other] != 0);
            self.strangers.extend(cut_off.map(|other| (other, index)));
            let node = self.new_node(index);
            self.nodes.push(node);
            self.groups.push(0);
            self.schedule(self.now, Event::Tick(index));
        }
        self.detect();
    }

    /// Adds daemons of which the others learn in a second or so, each in an order of its own.
    pub(crate) fn grow_unevenly(&mut self, count: usize) {
        const STEPS: usize = 20;
        let old = self.nodes.len();
        self.grow(count);
        let pairs = (0..old).flat_map(|at| (old..old + count).map(move |new| (at, new)));
        self.strangers.extend(pairs);
        for step in 1..=STEPS {
            let rng = &mut self.rng;
            self.strangers
                .retain(|_| rng.usize(..STEPS) >= step.min(STEPS / 2) && step < STEPS);
            self.detect();
            self.run(Span::millis(50));
        }
    }

    /// Stops a daemon gracefully; it goes on answering.
    pub(crate) fn retire(&mut self, index: usize) {
        let now = self.local(index);
        self.nodes[index].quota.retire(now);
        self.drain(index);
    }

    /// Gives a daemon the accounts in `accounts`.
    pub(crate) fn configure(&mut self, index: usize) {
        let accounts = self.accounts.clone();
        let now = self.local(index);
        self.nodes[index]
            .quota
            .configure(now, &accounts, Some(BOUNDS));
        self.drain(index);
    }

    /// The daemon that is grantor of a shard.
    pub(crate) fn grantor(&self, shard: usize) -> Option<usize> {
        let mut holders = self.holders(shard);
        let holder = holders.pop();
        assert!(holders.is_empty(), "two grantors of shard {shard}");
        holder
    }

    pub(crate) fn grantor_of(&self, account: usize) -> Option<usize> {
        self.grantor(self.shard(account))
    }

    pub(crate) fn shard(&self, account: usize) -> usize {
        quota::shard_of(quota::account_hash(&self.accounts[account].name))
    }

    /// Asserts that no window had more admitted requests of an account than the bound allows.
    pub(crate) fn assert_bounds(&self) {
        for (account, record) in self.accounts.iter().zip(&self.records) {
            let most = record.most_in(BOUNDS.window) as f64;
            assert!(
                most <= bound(account),
                "{}: {most} requests in a window, bound {}",
                account.name,
                bound(account),
            );
        }
    }

    fn holders(&self, shard: usize) -> Vec<usize> {
        let holds = |index: &usize| {
            let node = &self.nodes[*index];
            node.alive && node.quota.holds(self.local(*index), shard)
        };
        (0..self.nodes.len()).filter(holds).collect()
    }

    fn local(&self, index: usize) -> Time {
        Time::at(self.now.since(self.nodes[index].origin))
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.serial += 1;
        self.bodies.insert(self.serial, event);
        self.events
            .push(Reverse((at, self.serial as u64, self.serial)));
    }

    /// Tells each daemon which others it takes for alive: those that it can reach.
    fn detect(&mut self) {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].alive {
                continue;
            }
            let reached =
                |other: usize| self.nodes[other].alive && self.groups[other] == self.groups[index];
            let known = |other: &usize| !self.strangers.contains(&(index, *other));
            let members = (0..self.nodes.len()).filter(known);
            let voters = members.map(|other| Voter {
                eligible: reached(other),
                ip: ip(other),
                reads: true,
            });
            let voters = voters.collect();
            let now = self.local(index);
            self.nodes[index].quota.set_members(now, voters);
        }
    }

    fn handle(&mut self, event: Event) {
        let index = match &event {
            Event::Datagram(_, to, _) => *to,
            Event::Request(_, node) | Event::Tick(node) => *node,
            Event::Detect => {
                self.detect();
                return;
            }
        };
        if !self.nodes[index].alive {
            return;
        }
        if self.nodes[index].frozen {
            self.nodes[index].held.push(event);
            return;
        }
        let now = self.local(index);
        match event {
            Event::Datagram(from, _, message) => {
                self.nodes[index].bytes += size(&message);
                self.nodes[index].quota.handle(now, ip(from), message);
            }
            Event::Request(account, _) => self.request(account, index),
            Event::Tick(_) | Event::Detect => {
                self.nodes[index].quota.tick(now);
                self.nodes[index].scheduled = Time::ZERO;
            }
        }
        self.drain(index);
    }

    fn request(&mut self, account: usize, index: usize) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let now = self.local(index);
        let name = self.accounts[account].name.clone();
        match self.nodes[index].quota.admit(now, id, &name, MAX_WAIT) {
            Admission::Admitted => self.records[account].admitted.push(self.now),
            Admission::Refused(_) => self.records[account].refused.push(self.now),
            Admission::Waiting => {
                self.waiting.insert(id, account);
            }
        }
    }

    /// Performs a daemon's actions and schedules its next tick.
    fn drain(&mut self, index: usize) {
        for action in self.nodes[index].quota.take_actions() {
            match action {
                QuotaAction::Admit(id) => {
                    let account = self.waiting.remove(&id).expect("waits");
                    self.records[account].admitted.push(self.now);
                }
                QuotaAction::Refuse(id, _) => {
                    let account = self.waiting.remove(&id).expect("waits");
                    self.records[account].refused.push(self.now);
                }
                QuotaAction::Send(to, message) => self.transmit(index, index_of(to), message),
            }
        }
        for event in self.nodes[index].quota.take_events() {
            if let QuotaEvent::TenureBegan(shard) = event {
                self.tenures += 1;
                assert!(self.holders(shard).len() <= 1, "two grantors of {shard}");
            }
        }
        if let Some(at) = self.nodes[index].quota.next_tick() {
            let at = (self.nodes[index].origin + at.since(Time::ZERO)).max(self.now);
            let scheduled = self.nodes[index].scheduled;
            if scheduled <= self.now || at < scheduled {
                self.nodes[index].scheduled = at;
                self.schedule(at, Event::Tick(index));
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: Message) {
        self.nodes[from].bytes += size(&message);
        if self.groups[from] != self.groups[to] || self.rng.f64() < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.doubled);
        for _ in 0..copies {
            let delay = self.delay.scale(0.1 + 0.9 * self.rng.f64());
            let event = Event::Datagram(from, to, message.clone());
            self.schedule(self.now + delay, event);
        }
    }

    /// All shards that have a grantor.
    pub(crate) fn served_shards(&self) -> usize {
        (0..SHARDS)
            .filter(|shard| self.grantor(*shard).is_some())
            .count()
    }

    pub(crate) fn all(&self) -> Vec<usize> {
        (0..self.nodes.len()).collect()
    }

    pub(crate) fn grantors(&self) -> Set<usize> {
        (0..SHARDS)
            .filter_map(|shard| self.grantor(shard))
            .collect()
    }
}

/// The size of a message in a datagram, in bytes.
fn size(message: &Message) -> usize {
    Datagram::encode_quota(message).map_or(0, |bytes| bytes.len())
}
