//! Fetches of site changes between the daemons of a fleet.

use {
    crate::{conn::ConnKind, constants::FETCH_TIMEOUT, daemon::Daemon, log_event},
    forward::ForwardExtended,
    peer::{ChangeSection, FrameCodec, PeerError, PeerRequest, Section, TopicRevs},
    serde_json::json,
    site::{Change, LegacyChange, Rev, Revs, Topic},
    std::net::Ipv4Addr,
    unit::Time,
    wire::ConnectionEnd,
};

/// A connection on which this daemon fetches site changes from another.
#[derive(Debug)]
pub(crate) struct FetchClientConn {
    /// The address of the daemon that the changes come from.
    from: Ipv4Addr,
    codec: FrameCodec,
}

/// A connection on which another daemon fetches site changes from this one, or forwards a request.
#[derive(Debug)]
pub(crate) struct FetchServerConn {
    /// Whether the request was answered; what follows it is dropped.
    answered: bool,
    codec: FrameCodec,
}

impl FetchServerConn {
    /// Takes what was received after the request.
    pub(crate) fn take_rest(&mut self) -> Vec<u8> {
        self.codec.take_rest()
    }
}

impl Daemon {
    /// State for an accepted connection on which another daemon fetches.
    pub(crate) fn new_fetch_server() -> ConnKind {
        ConnKind::FetchServer(FetchServerConn {
            answered: false,
            codec: FrameCodec::short(),
        })
    }

    /// Handles bytes that arrived on a connection on which another daemon fetches, and its end.
    pub(crate) fn fetch_server_read(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        let ConnKind::FetchServer(server) = &mut conn.kind else {
            return;
        };
        if !server.answered {
            server.codec.push(bytes);
            self.answer_fetch(now, conn_key);
        }
        if ending.is_some() {
            self.remove_conn(conn_key);
        }
    }

    /// Answers a fetch once its request has arrived.
    fn answer_fetch(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        let ConnKind::FetchServer(server) = &mut conn.kind else {
            return;
        };
        match server.codec.decode::<PeerRequest>() {
            Ok(Some(PeerRequest::Forward(request))) => {
                let request = ForwardExtended {
                    account: None,
                    request,
                };
                self.accept_forward(now, conn_key, request);
            }
            Ok(Some(PeerRequest::ForwardExtended(request))) => {
                self.accept_forward(now, conn_key, request);
            }
            Ok(Some(PeerRequest::Fetch(request))) => {
                server.answered = true;
                let reply = legacy_reply(&self.view.changes_since(&request.revs));
                self.reply_to_fetch(now, conn_key, reply);
            }
            Ok(Some(PeerRequest::FetchExtended(known))) => {
                server.answered = true;
                let mut revs = Revs::default();
                known.raise(&mut revs);
                let starting = Topic::ALL
                    .iter()
                    .any(|topic| revs.of(*topic) == Rev::default());
                let changes = self.view.changes_since(&revs);
                // A daemon that has just started isn't ready before it knows the rollouts.
                let rollouts = if starting {
                    self.rollout_listing(now)
                } else {
                    None
                };
                let reply = extended_reply(&changes, rollouts.as_ref());
                self.reply_to_fetch(now, conn_key, reply);
            }
            Ok(None) => {}
            Err(error) => self.reject_peer(now, conn_key, &error.to_string()),
        }
    }

    fn reply_to_fetch(&mut self, now: Time, conn_key: usize, reply: Result<Vec<u8>, PeerError>) {
        match reply {
            Ok(out) => {
                // A failure is ignored here; the next read of the connection reports it.
                let _ = self.write_conn(conn_key, &out, now);
            }
            Err(error) => self.reject_peer(now, conn_key, &error.to_string()),
        }
    }

    /// Handles bytes that arrived on a connection on which this daemon fetches, and its end.
    pub(crate) fn fetch_client_read(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        let ConnKind::FetchClient(client) = &mut conn.kind else {
            return;
        };
        client.codec.push(bytes);
        let source = client.from.to_string();
        match client.codec.decode::<Vec<ChangeSection>>() {
            Ok(Some(sections)) => {
                self.end_fetch(conn_key);
                for section in sections {
                    self.apply_section(now, &section, &source);
                }
            }
            Ok(None) if ending.is_none() => {}
            Ok(None) => self.end_fetch(conn_key),
            Err(error) => {
                self.end_fetch(conn_key);
                self.log_refused(now, &source, &error);
            }
        }
    }

    /// Applies a fetched change, unless it is about a topic that this build doesn't know, or takes
    /// what the other daemon tells of rollouts.
    fn apply_section(&mut self, now: Time, section: &ChangeSection, source: &str) {
        match (section.section(), section.change()) {
            (Ok(Some(section)), _) => {
                self.adopt_rollouts(now, &[section], source);
                self.update_lanes(now);
                self.check_ready(now);
            }
            (Ok(None), Ok(Some(change))) => self.apply_change(now, change, source),
            (Ok(None), Ok(None)) => {}
            (Err(error), _) | (_, Err(error)) => self.log_refused(now, source, &error),
        }
    }

    fn log_refused(&mut self, now: Time, source: &str, error: &PeerError) {
        let fields = json!({"peer": source, "reason": error.to_string()});
        self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
    }

    /// Closes the connection of a fetch. The next heartbeat that reports newer revisions starts
    /// another fetch.
    pub(crate) fn end_fetch(&mut self, conn_key: usize) {
        self.remove_conn(conn_key);
        self.fetching = false;
    }

    /// Starts fetching site changes from a daemon, unless a fetch is in progress.
    pub(crate) fn start_fetch(&mut self, now: Time, from: Ipv4Addr) {
        if self.fetching {
            return;
        }
        let request = PeerRequest::FetchExtended(TopicRevs::new(&self.view.revs()));
        let Ok(bytes) = FrameCodec::encode(&request) else {
            return;
        };
        let kind = ConnKind::FetchClient(FetchClientConn {
            from,
            codec: FrameCodec::default(),
        });
        let Ok(conn_key) = self.connect(self.peer_address(from), kind, now) else {
            return;
        };
        self.fetching = true;
        self.set_timer(conn_key, now + FETCH_TIMEOUT);
        if self.write_conn(conn_key, &bytes, now).is_err() {
            self.end_fetch(conn_key);
        }
    }

    /// Closes the connection of a daemon that sent a message which can't be handled.
    pub(crate) fn reject_peer(&mut self, now: Time, conn_key: usize, reason: &str) {
        self.remove_conn(conn_key);
        self.log_event(
            now,
            log_event::PEER_MESSAGE_REFUSED,
            json!({"reason": reason}),
        );
    }
}

/// The reply to a daemon that reads only legacy messages.
fn legacy_reply(changes: &[Change]) -> Result<Vec<u8>, PeerError> {
    let changes: Vec<LegacyChange> = changes.iter().filter_map(LegacyChange::new).collect();
    FrameCodec::encode(&changes)
}

/// The reply to a daemon that reads extended messages; `rollouts` is what heartbeats tell of these.
fn extended_reply(changes: &[Change], rollouts: Option<&Section>) -> Result<Vec<u8>, PeerError> {
    // What changes of rollouts is told in sections.
    let fetched = changes
        .iter()
        .filter(|change| change.topic != Topic::Rollouts);
    let sections = fetched
        .map(ChangeSection::new)
        .chain(rollouts.map(ChangeSection::of_section));
    let sections: Result<Vec<ChangeSection>, PeerError> = sections.collect();
    FrameCodec::encode(&sections?)
}
