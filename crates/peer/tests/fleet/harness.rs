//! Rosters that hear each other, or don't.

use {
    fastrand::Rng,
    peer::{HEARTBEAT_PERIOD, OwnState, Roster, RosterAction, Stage, Watch, encode},
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Name, Set, Span, Time},
};

pub(crate) struct Node {
    pub(crate) alive: bool,
    /// Bytes of the heartbeats that it sent and heard.
    pub(crate) bytes: usize,
    pub(crate) fetched: Vec<Ipv4Addr>,
    pub(crate) ip: Ipv4Addr,
    pub(crate) own: OwnState,
    pub(crate) roster: Roster,
}

/// Daemons whose clocks agree; a heartbeat arrives at once or never.
pub(crate) struct Fleet {
    /// Pairs of daemons between which nothing passes, by their places.
    pub(crate) cut: Set<(usize, usize)>,
    /// Whether heartbeats arrive only when all daemons have sent theirs, so that news moves one daemon a
    /// period.
    pub(crate) lags: bool,
    pub(crate) loss: f64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Time,
    pub(crate) rng: Rng,
}

pub(crate) fn name(at: usize) -> Name {
    format!("front-{at}").as_str().into()
}

pub(crate) fn ip(at: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + at as u32)
}

impl Fleet {
    /// Daemons in three data centres by turns, of which each knows the first alone.
    pub(crate) fn new(size: usize) -> Self {
        Self::spread(size, 3)
    }

    /// Daemons in some data centres by turns, of which each knows the first alone.
    pub(crate) fn spread(size: usize, centres: usize) -> Self {
        let now = Time::at(Span::secs(100));
        let mut rng = Rng::with_seed(3);
        let node = |at: usize| Node {
            alive: true,
            bytes: 0,
            fetched: Vec::new(),
            ip: ip(at),
            own: OwnState {
                revs: Revs::default(),
                stage: Stage::Ready,
                watch: Watch::Off,
            },
            roster: Roster::new(
                name(at),
                format!("centre-{}", at % centres).as_str().into(),
                ip(at),
                vec![ip(0)],
                now,
                rng.fork(),
            ),
        };
        let nodes = (0..size).map(node).collect();
        Self {
            cut: Set::default(),
            lags: false,
            loss: 0.0,
            nodes,
            now,
            rng,
        }
    }

    pub(crate) fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now = self.now + HEARTBEAT_PERIOD;
            let mut waiting = Vec::new();
            for at in 0..self.nodes.len() {
                let actions = self.tick(at);
                if self.lags {
                    waiting.push((at, actions));
                } else {
                    self.carry(at, actions);
                }
            }
            for (at, actions) in waiting {
                self.carry(at, actions);
            }
        }
    }

    fn tick(&mut self, at: usize) -> Vec<RosterAction> {
        let now = self.now;
        let node = &mut self.nodes[at];
        if !node.alive {
            return Vec::new();
        }
        let watches = node.roster.must_watch(now, &node.own);
        node.own.watch = match (node.own.watch, watches) {
            (Watch::Failing, _) => Watch::Failing,
            (_, true) => Watch::Live,
            (_, false) => Watch::Off,
        };
        node.roster.tick(now, &node.own)
    }

    fn carry(&mut self, from: usize, actions: Vec<RosterAction>) {
        for action in actions {
            let (to, beat) = match action {
                RosterAction::Send(to, beat) => (to, beat),
                RosterAction::Fetch(other) => {
                    self.nodes[from].fetched.push(other);
                    continue;
                }
            };
            let Some(to) = self.nodes.iter().position(|node| node.ip == to) else {
                continue;
            };
            let cut = self.cut.contains(&(from, to));
            if !self.nodes[to].alive || cut || self.rng.f64() < self.loss {
                continue;
            }
            let bytes = encode(&beat).map_or(0, |bytes| bytes.len());
            self.nodes[from].bytes += bytes;
            let node = &mut self.nodes[to];
            node.bytes += bytes;
            let actions = node.roster.handle_heartbeat(self.now, &beat, &node.own);
            self.carry(to, actions);
        }
    }

    pub(crate) fn split(&mut self, left: &[usize]) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if left.contains(&from) != left.contains(&to) {
                    self.cut.insert((from, to));
                }
            }
        }
    }

    pub(crate) fn sees(&self, at: usize) -> usize {
        self.nodes[at].roster.count_alive(self.now)
    }

    pub(crate) fn watchers(&self) -> Vec<usize> {
        let live = |at: &usize| self.nodes[*at].alive && self.nodes[*at].own.watch == Watch::Live;
        (0..self.nodes.len()).filter(live).collect()
    }

    pub(crate) fn age(&self, at: usize) -> Span {
        let node = &self.nodes[at];
        node.roster.staleness(self.now, &node.own)
    }
}
