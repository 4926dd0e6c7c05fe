//! Passes socket readiness events and due timers to their handlers.

use {
    crate::{
        channel::ReadResult,
        conn::{Conn, ConnKind},
        constants::ADMIN_IDLE_TIMEOUT,
        daemon::Daemon,
        listeners::{FIRST_CONN_TOKEN, ListenerKind, UDP_TOKEN},
        log_event,
        workers::WorkerPhase,
    },
    mio::{Token, net::TcpStream},
    peer::HEARTBEAT_PERIOD,
    serde_json::json,
    std::io::ErrorKind,
    unit::{Span, Time},
    wire::ConnectionEnd,
};

/// How many requests of a caller may await their responses until no more are read.
const MAX_PIPELINED: usize = 128;
/// How much a caller may leave unread until no more of its requests are read, in bytes. More than the
/// longest response that is kept whole.
const MAX_UNSENT_BYTES: usize = 2 << 20;

impl Daemon {
    /// Handles the readiness of the socket with this token.
    pub(crate) fn handle_io_event(&mut self, now: Time, token: Token, writable: bool) {
        if token == UDP_TOKEN {
            self.read_datagrams(now);
        } else if token.0 < FIRST_CONN_TOKEN {
            self.accept(now, token);
        } else {
            self.conn_ready(now, token.0 - FIRST_CONN_TOKEN, writable);
        }
    }

    /// Accepts the pending connections of callers.
    pub(crate) fn accept_callers(&mut self, now: Time) {
        if let Some(token) = self.listeners.token(ListenerKind::Callers) {
            self.accept(now, token);
        }
    }

    /// Tries again where accepting failed, since the listener's readiness isn't reported again.
    pub(crate) fn retry_accept(&mut self, now: Time) {
        for token in std::mem::take(&mut self.failed_accepts) {
            self.accept(now, token);
        }
    }

    /// Accepts the pending connections of a listener.
    pub(crate) fn accept(&mut self, now: Time, token: Token) {
        loop {
            let Some((kind, listener)) = self.listeners.get(token) else {
                return;
            };
            match listener.accept() {
                Ok((sock, _)) => self.add_accepted(now, kind, sock),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                Err(error) => {
                    let fields = json!({"reason": error.to_string()});
                    self.log_event(now, log_event::ACCEPT_FAILED, fields);
                    self.failed_accepts.insert(token);
                    return;
                }
            }
        }
    }

    /// Adds an accepted connection; drops it if too many callers are connected.
    pub(crate) fn add_accepted(&mut self, now: Time, listener: ListenerKind, sock: TcpStream) {
        let kind = match listener {
            ListenerKind::Callers => match self.new_caller(now) {
                Some(kind) => kind,
                None => return,
            },
            ListenerKind::Directory | ListenerKind::Operators | ListenerKind::Readiness => {
                self.new_admin(listener)
            }
            ListenerKind::Peers => Self::new_fetch_server(),
        };
        let is_caller = matches!(kind, ConnKind::Caller(_));
        match self.add_conn(sock, true, kind, now) {
            Ok(conn_key) => {
                self.caller_count += usize::from(is_caller);
                self.set_idle_timeout(now, conn_key);
            }
            Err(error) => {
                let fields = json!({"reason": error.to_string()});
                self.log_event(now, log_event::ACCEPT_FAILED, fields);
            }
        }
    }

    /// Sends pending bytes on a ready connection, reads from it and passes the received bytes to
    /// the handler for its kind.
    pub(crate) fn conn_ready(&mut self, now: Time, conn_key: usize, writable: bool) {
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        let mut ending = None;
        if writable {
            let had_unsent = conn.channel.has_unsent();
            ending = conn.channel.handle_writable(now).err();
            if ending.is_none() && had_unsent {
                self.linger_sent(conn_key, now);
            }
        }
        if let Some(ending) = ending {
            self.handle_received(now, conn_key, &[], Some(ending));
            return;
        }
        if writable {
            self.worker_connected(now, conn_key);
            self.resume_relay(now, conn_key);
        }
        self.read_conn(now, conn_key);
    }

    /// Reads about one chunk from a connection, unless the caller of a worker's response is slow. If
    /// there may be more, the connection is read again after all others that are ready, so that one
    /// that sends without end has a share of the turns only.
    pub(crate) fn read_conn(&mut self, now: Time, conn_key: usize) {
        if self.is_reading_paused(conn_key) || self.awaits_memory(conn_key) {
            if let Some(caller) = self.caller_conn(conn_key) {
                caller.paused = true;
            }
            return;
        }
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        if !conn.channel.connected {
            return;
        }
        let serial = conn.serial;
        let mut bytes = Vec::new();
        let result = conn.channel.read(&mut bytes, now);
        let ending = match result {
            ReadResult::Ended(ending) => Some(ending),
            ReadResult::Drained => None,
            ReadResult::More => {
                if !self.unread.contains(&(conn_key, serial)) {
                    self.unread.push_back((conn_key, serial));
                }
                None
            }
        };
        if !bytes.is_empty() || ending.is_some() {
            self.handle_received(now, conn_key, &bytes, ending);
        }
    }

    /// Whether a connection is not to be read for now: a worker's since the caller of its response is
    /// slow, a caller's since it hasn't taken what it asked for before.
    pub(crate) fn is_reading_paused(&self, conn_key: usize) -> bool {
        let Some(conn) = self.conns.get(conn_key) else {
            return false;
        };
        match &conn.kind {
            ConnKind::Worker(worker) => match worker.phase {
                WorkerPhase::Relaying(call) => self.is_relay_paused(call),
                _ => false,
            },
            ConnKind::Forward(forward) => {
                forward.is_relaying() && self.is_relay_paused(forward.call)
            }
            ConnKind::Caller(caller) => {
                caller.pipeline.len() >= MAX_PIPELINED
                    || conn.channel.unsent_len() >= MAX_UNSENT_BYTES
            }
            _ => false,
        }
    }

    /// Reads a caller's connection again, if it was paused, once its caller has taken enough.
    pub(crate) fn resume_caller(&mut self, conn_key: usize) {
        if self.is_reading_paused(conn_key) {
            return;
        }
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        if let ConnKind::Caller(caller) = &mut conn.kind
            && std::mem::take(&mut caller.paused)
        {
            self.unread.push_back((conn_key, conn.serial));
        }
    }

    /// Goes on with the connections of which there was more to read, each once.
    pub(crate) fn read_rest(&mut self, now: Time) {
        for (conn_key, serial) in std::mem::take(&mut self.unread) {
            let same = |conn: &Conn| conn.serial == serial;
            if self.conns.get(conn_key).is_some_and(same) {
                self.read_conn(now, conn_key);
            }
        }
    }

    /// Passes received bytes, and the end of the connection, to the handler for its kind.
    fn handle_received(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        match conn.kind {
            ConnKind::Admin(_) => self.admin_read(now, conn_key, bytes, ending),
            ConnKind::Caller(_) => self.caller_read(now, conn_key, bytes, ending),
            ConnKind::FetchClient(_) => self.fetch_client_read(now, conn_key, bytes, ending),
            ConnKind::Forward(_) => self.forward_read(now, conn_key, bytes, ending),
            ConnKind::Lingering(_) => {
                if ending.is_some() {
                    self.remove_conn(conn_key);
                }
            }
            ConnKind::FetchServer(_) => self.fetch_server_read(now, conn_key, bytes, ending),
            ConnKind::Store(_) => self.store_read(now, conn_key, bytes, ending),
            ConnKind::Worker(_) => self.worker_read(now, conn_key, bytes, ending),
        }
    }

    /// Runs due ticks of the dispatcher, due timers of connections and the periodic tasks.
    pub(crate) fn run_due_timers(&mut self, now: Time) {
        if self.dispatcher.next_tick().is_some_and(|at| at <= now) {
            self.dispatch(now, call::CallEvent::Tick);
        }
        if self.quota.next_tick().is_some_and(|at| at <= now) {
            self.quota_tick();
        }
        for (conn_key, serial) in self.timers.take_due(now) {
            self.conn_timeout(now, conn_key, serial);
        }
        if self.beat.next <= now {
            self.beat.next = now + HEARTBEAT_PERIOD;
            self.heartbeat_tick(now);
        }
        if self.hold.next_check().is_some_and(|at| at <= now) {
            self.release_held(now);
        }
        self.store_tick(now);
        self.shutdown_tick(now);
    }

    /// Handles the timer of a connection. It is ignored if the connection with this serial number
    /// is gone, or if its timer was set to a later time or has already fired.
    pub(crate) fn conn_timeout(&mut self, now: Time, conn_key: usize, serial: u64) {
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        if conn.serial != serial || conn.timer.is_none_or(|at| at > now) {
            return;
        }
        conn.timer = None;
        match conn.kind {
            ConnKind::Admin(_) | ConnKind::FetchServer(_) => {
                self.remove_conn(conn_key);
            }
            ConnKind::Lingering(_) => self.linger_timeout(now, conn_key),
            ConnKind::Caller(_) => self.caller_timeout(now, conn_key),
            ConnKind::FetchClient(_) => self.end_fetch(conn_key),
            ConnKind::Forward(_) => self.forward_timeout(now, conn_key),
            ConnKind::Store(_) => self.store_timeout(now, conn_key),
            ConnKind::Worker(_) => self.worker_timeout(now, conn_key),
        }
    }

    /// Sets the timer of an accepted connection to its idle timeout.
    pub(crate) fn set_idle_timeout(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        let timeout: Span = match conn.kind {
            ConnKind::Caller(_) => self.caller_limits().idle_timeout,
            _ => ADMIN_IDLE_TIMEOUT,
        };
        self.set_timer(conn_key, now + timeout);
    }
}
