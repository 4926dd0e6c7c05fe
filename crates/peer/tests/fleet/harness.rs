//! A simulated fleet whose rosters exchange heartbeats without sockets.

use {
    fastrand::Rng,
    peer::{
        Datagram, Format, HEARTBEAT_PERIOD, MAX_CRASHES, News, OwnState, Roster, RosterAction,
        Stage, Watch,
    },
    poison::CrashLog,
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Name, Set, Span, Time},
};

/// A simulated daemon.
pub(crate) struct Node {
    pub(crate) alive: bool,
    /// Bytes of the heartbeats that it sent and received.
    pub(crate) bytes: usize,
    /// Which requests were in flight at workers that crashed.
    pub(crate) crash_log: CrashLog,
    /// Addresses from which its roster asked to fetch site changes.
    pub(crate) fetched: Vec<Ipv4Addr>,
    pub(crate) ip: Ipv4Addr,
    /// Whether it is of a build that reads only legacy messages.
    pub(crate) legacy: bool,
    pub(crate) own: OwnState,
    /// The extended datagrams that it couldn't read.
    pub(crate) refused: usize,
    pub(crate) roster: Roster,
}

/// Daemons with a common clock. A heartbeat is lost or arrives at once, unless `delayed` is set.
pub(crate) struct Fleet {
    /// Pairs of sender and receiver, by index, between which all heartbeats are lost.
    pub(crate) cut_links: Set<(usize, usize)>,
    /// Whether heartbeats arrive only after all daemons have sent theirs, so that gossip moves one
    /// daemon per period.
    pub(crate) delayed: bool,
    /// The probability that a heartbeat is lost.
    pub(crate) loss: f64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Time,
    pub(crate) rng: Rng,
}

pub(crate) fn name(index: usize) -> Name {
    format!("front-{index}").as_str().into()
}

pub(crate) fn ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + index as u32)
}

impl Fleet {
    /// Daemons spread evenly over three data centres. Each knows only the first one, as its seed.
    pub(crate) fn new(size: usize) -> Self {
        Self::with_centres(size, 3)
    }

    /// Daemons spread evenly over data centres. Each knows only the first one, as its seed.
    pub(crate) fn with_centres(size: usize, centres: usize) -> Self {
        let now = Time::at(Span::secs(100));
        let mut rng = Rng::with_seed(3);
        let node = |index: usize| Node {
            alive: true,
            bytes: 0,
            crash_log: CrashLog::default(),
            fetched: Vec::new(),
            ip: ip(index),
            legacy: false,
            own: OwnState {
                revs: Revs::default(),
                stage: Stage::Ready,
                watch: Watch::Off,
            },
            refused: 0,
            roster: Roster::new(
                name(index),
                format!("centre-{}", index % centres).as_str().into(),
                ip(index),
                vec![ip(0)],
                now,
                rng.fork(),
            ),
        };
        let nodes = (0..size).map(node).collect();
        Self {
            cut_links: Set::default(),
            delayed: false,
            loss: 0.0,
            nodes,
            now,
            rng,
        }
    }

    pub(crate) fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now = self.now + HEARTBEAT_PERIOD;
            let mut pending = Vec::new();
            for index in 0..self.nodes.len() {
                let actions = self.tick(index);
                if self.delayed {
                    pending.push((index, actions));
                } else {
                    self.perform(index, actions);
                }
            }
            for (index, actions) in pending {
                self.perform(index, actions);
            }
        }
    }

    fn tick(&mut self, index: usize) -> Vec<RosterAction> {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.alive {
            return Vec::new();
        }
        let must_watch = node.roster.must_watch(now, &node.own);
        node.own.watch = match (node.own.watch, must_watch) {
            (Watch::Failing, _) => Watch::Failing,
            (_, true) => Watch::Live,
            (_, false) => Watch::Off,
        };
        let mut actions = node.roster.tick(now, &node.own);
        node.crash_log.prune(now);
        for action in &mut actions {
            if let RosterAction::Send(_, heartbeat) = action {
                let crashes = node.crash_log.news(now, MAX_CRASHES);
                heartbeat.news = (!crashes.is_empty()).then(|| {
                    Box::new(News {
                        crashes,
                        ..News::default()
                    })
                });
            }
        }
        actions
    }

    /// Performs the actions of one daemon, and the actions of those that receive its heartbeats.
    fn perform(&mut self, from: usize, actions: Vec<RosterAction>) {
        for action in actions {
            let (to, format, heartbeat) = match action {
                // A legacy build knows no offers, and its roster makes no difference between forms.
                RosterAction::Offer(..) if self.nodes[from].legacy => continue,
                RosterAction::Offer(to, heartbeat) => (to, Format::Extended, heartbeat),
                RosterAction::Send(to, heartbeat) if self.nodes[from].legacy => {
                    (to, Format::Legacy, heartbeat)
                }
                RosterAction::Send(to, heartbeat) => (
                    to,
                    self.nodes[from].roster.format_of(self.now, to),
                    heartbeat,
                ),
                RosterAction::Fetch(other) => {
                    self.nodes[from].fetched.push(other);
                    continue;
                }
            };
            let Some(to) = self.nodes.iter().position(|node| node.ip == to) else {
                continue;
            };
            let cut = self.cut_links.contains(&(from, to));
            if !self.nodes[to].alive || cut || self.rng.f64() < self.loss {
                continue;
            }
            let bytes = Datagram::encode_heartbeat(format, &heartbeat, &[]);
            let bytes = bytes.map_or(0, |bytes| bytes.len());
            self.nodes[from].bytes += bytes;
            let node = &mut self.nodes[to];
            node.bytes += bytes;
            if node.legacy && format == Format::Extended {
                node.refused += 1;
                continue;
            }
            for news in heartbeat.news.iter().flat_map(|news| &news.crashes) {
                node.crash_log.adopt(self.now, *news);
            }
            let actions = node
                .roster
                .handle_heartbeat(self.now, &heartbeat, format, &node.own);
            self.perform(to, actions);
        }
    }

    /// Cuts all links, in both directions, between the daemons of `part` and the others.
    pub(crate) fn split(&mut self, part: &[usize]) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if part.contains(&from) != part.contains(&to) {
                    self.cut_links.insert((from, to));
                }
            }
        }
    }

    /// How many other daemons one daemon counts as alive.
    pub(crate) fn alive_count(&self, index: usize) -> usize {
        self.nodes[index].roster.count_alive(self.now)
    }

    pub(crate) fn watchers(&self) -> Vec<usize> {
        let live =
            |index: &usize| self.nodes[*index].alive && self.nodes[*index].own.watch == Watch::Live;
        (0..self.nodes.len()).filter(live).collect()
    }

    pub(crate) fn staleness(&self, index: usize) -> Span {
        let node = &self.nodes[index];
        node.roster.staleness(self.now, &node.own)
    }
}
