//! What the daemon does when sockets become ready and timers are due.

use {
    crate::{
        conn::ConnKind,
        constants::ADMIN_IDLE_TIMEOUT,
        daemon::Daemon,
        listeners::{FIRST_CONN_TOKEN, ListenerKind, UDP_TOKEN},
        log_event,
    },
    mio::{Token, net::TcpStream},
    peer::HEARTBEAT_PERIOD,
    serde_json::json,
    std::io::ErrorKind,
    unit::{Span, Time},
};

impl Daemon {
    pub(crate) fn handle_io_event(&mut self, now: Time, token: Token, writable: bool) {
        if token == UDP_TOKEN {
            self.read_datagrams(now);
        } else if token.0 < FIRST_CONN_TOKEN {
            self.accept(now, token);
        } else {
            self.conn_ready(now, token.0 - FIRST_CONN_TOKEN, writable);
        }
    }

    pub(crate) fn accept(&mut self, now: Time, token: Token) {
        loop {
            let Some((door, listener)) = self.listeners.get(token) else {
                return;
            };
            match listener.accept() {
                Ok((sock, _)) => self.add_accepted(now, door, sock),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    let fields = json!({"reason": error.to_string()});
                    self.log_event(now, log_event::ACCEPT_FAILED, fields);
                    return;
                }
            }
        }
    }

    pub(crate) fn add_accepted(&mut self, now: Time, door: ListenerKind, sock: TcpStream) {
        let kind = match door {
            ListenerKind::Callers => match self.new_caller(now) {
                Some(kind) => kind,
                None => return,
            },
            ListenerKind::Directory | ListenerKind::Operators | ListenerKind::Readiness => {
                self.new_admin(door)
            }
            ListenerKind::Peers => Self::new_fetch_server(),
        };
        let caller = matches!(kind, ConnKind::Caller(_));
        match self.add_conn(sock, true, kind, now) {
            Ok(place) => {
                self.caller_count += usize::from(caller);
                self.set_idle_timeout(now, place);
            }
            Err(error) => {
                let fields = json!({"reason": error.to_string()});
                self.log_event(now, log_event::ACCEPT_FAILED, fields);
            }
        }
    }

    pub(crate) fn conn_ready(&mut self, now: Time, place: usize, writable: bool) {
        let Some(conn) = self.conns.get_mut(place) else {
            return;
        };
        let mut ending = None;
        if writable {
            ending = conn.channel.handle_writable(now).err();
            if ending.is_none()
                && matches!(conn.kind, ConnKind::Lingering)
                && !conn.channel.has_unsent()
            {
                conn.channel.half_close();
            }
        }
        let mut bytes = Vec::new();
        if conn.channel.connected && ending.is_none() {
            ending = conn.channel.read(&mut bytes, now);
        }
        if bytes.is_empty() && ending.is_none() {
            return;
        }
        match conn.kind {
            ConnKind::Admin(_) => self.admin_read(now, place, &bytes, ending),
            ConnKind::Caller(_) => self.caller_read(now, place, &bytes, ending),
            ConnKind::Fetching(_) => self.fetch_client_read(now, place, &bytes, ending),
            ConnKind::Lingering => {
                if ending.is_some() {
                    self.remove_conn(place);
                }
            }
            ConnKind::Serving(_) => self.fetch_server_read(now, place, &bytes, ending),
            ConnKind::Store(_) => self.store_read(now, place, &bytes, ending),
            ConnKind::Worker(_) => self.worker_read(now, place, &bytes, ending),
        }
    }

    pub(crate) fn run_due_timers(&mut self, now: Time) {
        if self.dispatcher.next_tick().is_some_and(|at| at <= now) {
            self.dispatch(now, call::CallEvent::Tick);
        }
        while let Some((place, serial)) = self.timers.pop_due(now) {
            self.conn_timeout(now, place, serial);
        }
        if self.next_heartbeat <= now {
            self.next_heartbeat = now + HEARTBEAT_PERIOD;
            self.heartbeat_tick(now);
        }
        self.store_tick(now);
        self.shutdown_tick(now);
    }

    pub(crate) fn conn_timeout(&mut self, now: Time, place: usize, serial: u64) {
        let Some(conn) = self.conns.get_mut(place) else {
            return;
        };
        if conn.serial != serial || conn.timer.is_none_or(|at| at > now) {
            return;
        }
        conn.timer = None;
        match conn.kind {
            ConnKind::Admin(_) | ConnKind::Lingering | ConnKind::Serving(_) => {
                self.remove_conn(place);
            }
            ConnKind::Caller(_) => self.caller_timeout(now, place),
            ConnKind::Fetching(_) => self.end_fetch(place),
            ConnKind::Store(_) => self.store_timeout(now, place),
            ConnKind::Worker(_) => self.worker_timeout(now, place),
        }
    }

    pub(crate) fn set_idle_timeout(&mut self, now: Time, place: usize) {
        let Some(conn) = self.conns.get(place) else {
            return;
        };
        let span: Span = match conn.kind {
            ConnKind::Caller(_) => self.caller_limits().idle_timeout,
            _ => ADMIN_IDLE_TIMEOUT,
        };
        self.set_timer(place, now + span);
    }
}
