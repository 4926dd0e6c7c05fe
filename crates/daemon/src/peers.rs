//! Heartbeats between the daemons of a fleet, and what follows from them.

use {
    crate::{daemon::Daemon, log_event},
    forward::HelperMember,
    peer::{
        CoarseAge, Datagram, Format, Heartbeat, LIMITS_ONE_IN, LimitEntry, MAX_CRASHES, MAX_LIMITS,
        MAX_UNREACHED, News, OwnState, RosterAction, Section, Stage, Watch,
    },
    pick::LimitNews,
    poison::CrashNews,
    serde_json::json,
    site::Rev,
    std::{
        io::ErrorKind,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    },
    unit::{Name, Set, Time},
};

/// The size of the buffer for received datagrams, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The state of the regular heartbeats.
#[derive(Debug)]
pub(crate) struct Beat {
    /// The other daemons that were alive at the last check, to log which ones came and went.
    alive: Set<Name>,
    /// Whether no other daemon was heard for so long that the others may treat this one as gone.
    isolated: bool,
    /// When the next heartbeats are due.
    pub(crate) next: Time,
    /// The sections of the heartbeats that are being sent.
    pub(crate) sections: Vec<Section>,
    /// How often heartbeats were sent since the start.
    pub(crate) ticks: u64,
}

impl Beat {
    /// The state at the start.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            alive: Set::default(),
            isolated: false,
            next: now,
            sections: Vec::new(),
            ticks: 0,
        }
    }
}

impl Daemon {
    /// This daemon's state as its heartbeats report it.
    pub(crate) fn own_state(&self) -> OwnState {
        let watch = if self.store.watching() {
            Watch::Live
        } else if self.store.failing(self.clock.now()) {
            Watch::Failing
        } else {
            Watch::Off
        };
        OwnState {
            revs: self.view.revs(),
            stage: self.stage,
            watch,
        }
    }

    /// Tries again to accept connections, sends the regular heartbeats, updates what depends on
    /// which daemons are registered or alive, and prunes the worker table and the connection pools.
    pub(crate) fn heartbeat_tick(&mut self, now: Time) {
        self.retry_accept(now);
        self.settle_view(now);
        // Once a tick: each change costs a pass over the daemons for every worker that names a limit.
        self.update_table_members();
        self.update_helpers(now);
        self.update_quota_members(now);
        let own = self.own_state();
        let mut actions = self.roster.tick(now, &own);
        self.beat.ticks += 1;
        self.rollouts_tick(now);
        self.add_news(now, &mut actions);
        self.run_roster_actions(now, actions);
        // Only regular heartbeats have these sections; replies and announcements have none.
        self.beat.sections.clear();
        self.update_store_role(now);
        self.check_ready(now);
        self.log_peer_changes(now);
        self.check_isolation(now);
        self.dispatcher.table.prune(now);
        self.prune_pools();
        self.update_leaving_metrics();
    }

    /// Uses no shares of the fleet's limits while the other daemons may treat this daemon as gone and
    /// divide its shares among themselves. Registers again once it hears one of them.
    fn check_isolation(&mut self, now: Time) {
        let was_isolated = self.beat.isolated;
        self.beat.isolated = self.roster.is_isolated(now);
        if self.beat.isolated {
            self.dispatcher.table.allow_shares_from(None);
        } else if was_isolated {
            let actions = self.store.confirm_registration(now);
            self.run_store_actions(now, actions);
        }
    }

    /// Adds what this daemon learned of workers to the heartbeats of a tick.
    fn add_news(&mut self, now: Time, actions: &mut [RosterAction]) {
        let mut limits = self.limit_entries(now);
        if let Some(section) = self.rejecting_section(now, &mut limits) {
            self.beat.sections.push(section);
        }
        let bars = self.bar_news(now);
        for action in actions {
            if let RosterAction::Send(_, heartbeat) = action {
                // Of much news of crashes, each heartbeat gets another part.
                let mut crashes = self.dispatcher.crash_news(now, MAX_CRASHES - bars.len());
                crashes.extend(&bars);
                heartbeat.add_news(News {
                    crashes,
                    limits: limits.clone(),
                    unreached: Vec::new(),
                });
            }
        }
    }

    /// What workers told this daemon of their limits, for the heartbeats of one tick in
    /// [`LIMITS_ONE_IN`].
    fn limit_entries(&mut self, now: Time) -> Vec<LimitEntry> {
        if !self.beat.ticks.is_multiple_of(LIMITS_ONE_IN) {
            return Vec::new();
        }
        let news = self.dispatcher.limit_news(now, MAX_LIMITS);
        let entry = |news: &LimitNews| LimitEntry {
            age: CoarseAge::new(news.age),
            rate: news.rate,
            run: news.run,
        };
        news.iter().map(entry).collect()
    }

    /// Once a second, what bars a request that crashes workers, for daemons that have just started.
    fn bar_news(&self, now: Time) -> Vec<CrashNews> {
        if !self.beat.ticks.is_multiple_of(LIMITS_ONE_IN) {
            return Vec::new();
        }
        let turn = self.beat.ticks / LIMITS_ONE_IN;
        self.dispatcher.crash_log().barred_news(now, turn as usize)
    }

    /// Tells the dispatcher which daemons may take requests of this one: those that are alive, ready
    /// and of the same region.
    fn update_helpers(&mut self, now: Time) {
        let settings = &self.settings;
        let region = |centre: &Name| settings.region_of(centre);
        let members = self.roster.members().values();
        let near = members.filter(|member| {
            member.stage == Stage::Ready
                && self.roster.is_alive(member, now)
                && region(&member.centre) == Some(&settings.region)
        });
        let helpers = near.map(|member| HelperMember {
            ip: member.ip,
            local: member.centre == settings.centre,
            reads_account: member.format == Format::Extended,
        });
        self.dispatcher.helpers.set_members(helpers);
    }

    /// Adopts what another daemon learned of requests that crash workers.
    fn adopt_crashes(&mut self, now: Time, news: &[CrashNews]) {
        for news in news {
            self.dispatcher.adopt_crash(now, *news);
        }
        self.log_crashes(now);
    }

    /// Adopts the limits that another daemon was told of.
    fn adopt_limits(&mut self, now: Time, limits: &[LimitEntry]) {
        for entry in limits {
            let news = LimitNews {
                age: entry.age.span(),
                rate: entry.rate,
                run: entry.run,
            };
            self.dispatcher.adopt_limit(now, news);
        }
        self.log_notice_changes(now);
    }

    /// Carries out the actions of the roster.
    pub(crate) fn run_roster_actions(&mut self, now: Time, actions: Vec<RosterAction>) {
        for action in actions {
            match action {
                RosterAction::Fetch(ip) => self.start_fetch(now, ip),
                RosterAction::Offer(ip, heartbeat) => {
                    self.send_heartbeat(now, ip, Format::Extended, *heartbeat);
                }
                RosterAction::Send(ip, heartbeat) => {
                    let format = self.roster.format_of(now, ip);
                    self.send_heartbeat(now, ip, format, *heartbeat);
                }
            }
        }
    }

    /// Reads datagrams from other daemons until none is left or reading fails.
    pub(crate) fn read_datagrams(&mut self, now: Time) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.listeners.udp_socket.recv_from(&mut buf) {
                Ok((size, from)) => self.handle_heartbeat_datagram(now, &buf[..size], from),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // This may be the error of an earlier send, after which the next datagram may still
                // be fine. It is read once the socket becomes ready again.
                Err(_) => return,
            }
        }
    }

    /// Makes a starting daemon ready once it knows a configuration, the workers and the
    /// evacuations.
    pub(crate) fn check_ready(&mut self, now: Time) {
        let revs = self.view.revs();
        let synced = self.config.is_some()
            && revs.workers > Rev::default()
            && revs.evacuations > Rev::default()
            && self.knows_versions();
        if synced && self.stage == Stage::Starting {
            self.stage = Stage::Ready;
            let fields = json!({"config": self.config.as_ref().map(|config| config.version)});
            self.log_event(now, log_event::READY, fields);
            self.release_held(now);
            let own = self.own_state();
            let actions = self.roster.announce(now, &own);
            self.run_roster_actions(now, actions);
        }
    }

    pub(crate) fn peer_address(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.settings.peer_ports.0)
    }

    fn send_heartbeat(
        &mut self,
        now: Time,
        ip: Ipv4Addr,
        format: Format,
        mut heartbeat: Heartbeat,
    ) {
        heartbeat.add_news(News {
            unreached: self.dispatcher.unreached(MAX_UNREACHED),
            ..News::default()
        });
        let sections = match format {
            Format::Extended => self.heartbeat_sections(now),
            Format::Legacy => Vec::new(),
        };
        let bytes = match Datagram::encode_heartbeat(format, &heartbeat, &sections) {
            Ok(bytes) => bytes,
            Err(error) => {
                let fields = json!({"reason": error.to_string()});
                self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
                return;
            }
        };
        self.metrics.heartbeats.inc();
        let to = SocketAddr::V4(self.peer_address(ip));
        // A heartbeat that can't be sent counts as lost on the network.
        let _ = self.listeners.udp_socket.send_to(&bytes, to);
    }

    fn handle_heartbeat_datagram(&mut self, now: Time, bytes: &[u8], from: SocketAddr) {
        let (format, heartbeat, sections) = match Datagram::decode(bytes) {
            Ok(Datagram::Heartbeat {
                format,
                heartbeat,
                sections,
            }) => (format, heartbeat, sections),
            Ok(Datagram::Quota(body)) => {
                self.handle_quota_datagram(&body, from);
                return;
            }
            Ok(Datagram::Unknown) => return,
            Err(error) => {
                let fields = json!({"peer": from.to_string(), "reason": error.to_string()});
                self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
                return;
            }
        };
        if from.ip() != heartbeat.ip {
            let fields = json!({
                "peer": from.to_string(),
                "reason": "heartbeat names another address than its sender's",
            });
            self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
            return;
        }
        let own = self.own_state();
        let actions = self.roster.handle_heartbeat(now, &heartbeat, format, &own);
        self.run_roster_actions(now, actions);
        self.handle_sections(now, &heartbeat.name, &sections);
        self.adopt_rollouts(now, &sections, &heartbeat.ip.to_string());
        let news = heartbeat.news.unwrap_or_default();
        self.dispatcher
            .helpers
            .record_report(now, heartbeat.ip, &news.unreached);
        self.adopt_limits(now, &news.limits);
        self.adopt_crashes(now, &news.crashes);
    }

    /// Logs which daemons came alive and which are no longer alive.
    fn log_peer_changes(&mut self, now: Time) {
        let alive = |(name, member): (&Name, &peer::Member)| {
            self.roster.is_alive(member, now).then(|| name.clone())
        };
        let alive: Set<Name> = self.roster.members().iter().filter_map(alive).collect();
        if alive == self.beat.alive {
            return;
        }
        let lost: Vec<Name> = self.beat.alive.difference(&alive).cloned().collect();
        let regained: Vec<Name> = alive.difference(&self.beat.alive).cloned().collect();
        for name in lost {
            self.log_event(now, log_event::PEER_LOST, json!({"peer": name}));
        }
        for name in regained {
            self.log_event(now, log_event::PEER_REGAINED, json!({"peer": name}));
        }
        self.beat.alive = alive;
    }
}
