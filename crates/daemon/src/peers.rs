//! Traffic with other daemons.

use {
    crate::{conn::ConnKind, constants::FETCH_TIMEOUT, daemon::Daemon, log_event},
    peer::{FetchRequest, FrameCodec, Heartbeat, OwnState, RosterAction, Stage, Watch},
    serde_json::json,
    site::Change,
    std::{
        io::ErrorKind,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    },
    unit::{Name, Set, Time},
    wire::ConnectionEnd,
};

/// The longest datagram, in bytes.
const MAX_DATAGRAM: usize = 64 << 10;

/// A connection on which this daemon fetches what it lacks of the site.
#[derive(Debug)]
pub(crate) struct FetchClientConn {
    from: Ipv4Addr,
    frame: FrameCodec,
}

/// A connection on which another daemon fetches.
#[derive(Debug)]
pub(crate) struct FetchServerConn {
    frame: FrameCodec,
}

impl Daemon {
    /// What this daemon says of itself.
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

    /// Sends heartbeats and looks who else lives.
    pub(crate) fn heartbeat_tick(&mut self, now: Time) {
        let own = self.own_state();
        let actions = self.roster.tick(now, &own);
        self.run_roster_actions(now, actions);
        self.update_store_role(now);
        self.note_alive(now);
        if self.roster.is_isolated(now) {
            // The others may deal this daemon's share of what cold workers bear among themselves.
            self.dispatcher.table.allow_cold_from(None);
        }
        self.dispatcher.table.prune(now);
        self.prune_pools();
    }

    pub(crate) fn run_roster_actions(&mut self, now: Time, actions: Vec<RosterAction>) {
        for action in actions {
            match action {
                RosterAction::Fetch(ip) => self.fetch(now, ip),
                RosterAction::Send(ip, beat) => self.send_beat(now, ip, &beat),
            }
        }
    }

    pub(crate) fn read_datagrams(&mut self, now: Time) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match self.listeners.udp_socket.recv_from(&mut buf) {
                Ok((size, from)) => self.read_beat(now, &buf[..size], from),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Errors of earlier sends show here; the next datagram may be well.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    pub(crate) fn new_fetch_server() -> ConnKind {
        ConnKind::Serving(FetchServerConn {
            frame: FrameCodec::default(),
        })
    }

    pub(crate) fn fetch_server_read(
        &mut self,
        now: Time,
        place: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(conn) = self.conns.get_mut(place) else {
            return;
        };
        let ConnKind::Serving(serving) = &mut conn.kind else {
            return;
        };
        serving.frame.push(bytes);
        match serving.frame.decode::<FetchRequest>() {
            Ok(Some(fetch)) => {
                let changes = self.view.changes_since(&fetch.revs);
                match FrameCodec::encode(&changes) {
                    Ok(out) => {
                        // A failure shows when the connection is next read.
                        let _ = self.write_conn(place, &out, now);
                    }
                    Err(error) => self.refuse_peer(now, place, &error.to_string()),
                }
            }
            Ok(None) => {}
            Err(error) => self.refuse_peer(now, place, &error.to_string()),
        }
        if ending.is_some() {
            self.remove_conn(place);
        }
    }

    pub(crate) fn fetch_client_read(
        &mut self,
        now: Time,
        place: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(conn) = self.conns.get_mut(place) else {
            return;
        };
        let ConnKind::Fetching(fetching) = &mut conn.kind else {
            return;
        };
        fetching.frame.push(bytes);
        let source = fetching.from.to_string();
        match fetching.frame.decode::<Vec<Change>>() {
            Ok(Some(changes)) => {
                self.end_fetch(place);
                for change in changes {
                    self.apply_change(now, change, &source);
                }
            }
            Ok(None) if ending.is_none() => {}
            Ok(None) => self.end_fetch(place),
            Err(error) => {
                self.end_fetch(place);
                let fields = json!({"peer": source, "reason": error.to_string()});
                self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
            }
        }
    }

    /// Ends a fetch; the next heartbeat of a daemon that knows more begins another.
    pub(crate) fn end_fetch(&mut self, place: usize) {
        self.remove_conn(place);
        self.fetching = false;
    }

    /// Whether this daemon knows enough to serve.
    pub(crate) fn check_ready(&mut self, now: Time) {
        let revs = self.view.revs();
        let known = self.config.is_some() && revs.workers.0 > 0 && revs.evacuations.0 > 0;
        if known && self.stage == Stage::Starting {
            self.stage = Stage::Ready;
            let fields = json!({"config": self.config.as_ref().map(|config| config.version)});
            self.log_event(now, log_event::READY, fields);
            let own = self.own_state();
            let actions = self.roster.announce(now, &own);
            self.run_roster_actions(now, actions);
        }
    }

    fn peer_address(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.settings.peer_ports.0)
    }

    fn send_beat(&mut self, now: Time, ip: Ipv4Addr, beat: &Heartbeat) {
        let bytes = match peer::encode(beat) {
            Ok(bytes) => bytes,
            Err(error) => {
                let fields = json!({"reason": error.to_string()});
                self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
                return;
            }
        };
        self.metrics.heartbeats.inc();
        let to = SocketAddr::V4(self.peer_address(ip));
        // A heartbeat that can't be sent is as one that is lost on its way.
        let _ = self.listeners.udp_socket.send_to(&bytes, to);
    }

    fn read_beat(&mut self, now: Time, bytes: &[u8], from: SocketAddr) {
        let beat: Heartbeat = match peer::decode(bytes) {
            Ok(beat) => beat,
            Err(error) => {
                let fields = json!({"peer": from.to_string(), "reason": error.to_string()});
                self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
                return;
            }
        };
        if from.ip() != beat.ip {
            let fields = json!({"peer": from.to_string(), "reason": "it names another address"});
            self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
            return;
        }
        let own = self.own_state();
        let actions = self.roster.handle_heartbeat(now, &beat, &own);
        self.run_roster_actions(now, actions);
        self.update_table_members();
    }

    fn fetch(&mut self, now: Time, from: Ipv4Addr) {
        if self.fetching {
            return;
        }
        let fetch = FetchRequest {
            revs: self.view.revs(),
        };
        let Ok(bytes) = FrameCodec::encode(&fetch) else {
            return;
        };
        let kind = ConnKind::Fetching(FetchClientConn {
            from,
            frame: FrameCodec::default(),
        });
        let Ok(place) = self.connect(self.peer_address(from), kind, now) else {
            return;
        };
        self.fetching = true;
        self.set_timer(place, now + FETCH_TIMEOUT);
        if self.write_conn(place, &bytes, now).is_err() {
            self.end_fetch(place);
        }
    }

    fn refuse_peer(&mut self, now: Time, place: usize, reason: &str) {
        self.remove_conn(place);
        self.log_event(
            now,
            log_event::PEER_MESSAGE_REFUSED,
            json!({"reason": reason}),
        );
    }

    /// Logs which daemons came and went.
    fn note_alive(&mut self, now: Time) {
        let alive = |(name, member): (&Name, &peer::Member)| {
            self.roster.is_alive(member, now).then(|| name.clone())
        };
        let alive: Set<Name> = self.roster.members().iter().filter_map(alive).collect();
        if alive == self.alive_peers {
            return;
        }
        let lost: Vec<Name> = self.alive_peers.difference(&alive).cloned().collect();
        let found: Vec<Name> = alive.difference(&self.alive_peers).cloned().collect();
        for name in lost {
            self.log_event(now, log_event::PEER_LOST, json!({"peer": name}));
        }
        for name in found {
            self.log_event(now, log_event::PEER_REGAINED, json!({"peer": name}));
        }
        self.alive_peers = alive;
    }
}
