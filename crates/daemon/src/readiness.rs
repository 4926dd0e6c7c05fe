//! What the daemon does when sockets become ready and timers are due.

use {
    crate::{
        conn::Kind,
        daemon::Daemon,
        event,
        listeners::{DATAGRAMS, Door, FIRST_CONN},
        options::ADMIN_IDLE,
    },
    mio::{Token, net::TcpStream},
    peer::HEARTBEAT_PERIOD,
    serde_json::json,
    std::io::ErrorKind,
    unit::{Span, Time},
};

impl Daemon {
    pub(crate) fn ready(&mut self, now: Time, token: Token, writable: bool) {
        if token == DATAGRAMS {
            self.read_datagrams(now);
        } else if token.0 < FIRST_CONN {
            self.accept(now, token);
        } else {
            self.conn_ready(now, token.0 - FIRST_CONN, writable);
        }
    }

    pub(crate) fn accept(&mut self, now: Time, token: Token) {
        loop {
            let Some((door, listener)) = self.listeners.door(token) else {
                return;
            };
            match listener.accept() {
                Ok((sock, _)) => self.admit(now, door, sock),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    let fields = json!({"reason": error.to_string()});
                    self.tell(now, event::ACCEPT_FAILED, fields);
                    return;
                }
            }
        }
    }

    pub(crate) fn admit(&mut self, now: Time, door: Door, sock: TcpStream) {
        let kind = match door {
            Door::Callers => match self.new_caller(now) {
                Some(kind) => kind,
                None => return,
            },
            Door::Directory | Door::Operators | Door::Ready => self.new_admin(door),
            Door::Peers => Self::new_serving(),
        };
        let caller = matches!(kind, Kind::Caller(_));
        match self.insert(sock, true, kind, now) {
            Ok(place) => {
                self.callers += usize::from(caller);
                self.first_due(now, place);
            }
            Err(error) => {
                let fields = json!({"reason": error.to_string()});
                self.tell(now, event::ACCEPT_FAILED, fields);
            }
        }
    }

    pub(crate) fn conn_ready(&mut self, now: Time, place: usize, writable: bool) {
        let Some(conn) = self.conns.get_mut(place) else {
            return;
        };
        let mut ending = None;
        if writable {
            ending = conn.channel.writable(now).err();
            if ending.is_none() && matches!(conn.kind, Kind::Lingering) && !conn.channel.pending() {
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
            Kind::Admin(_) => self.admin_read(now, place, &bytes, ending),
            Kind::Caller(_) => self.caller_read(now, place, &bytes, ending),
            Kind::Fetching(_) => self.fetching_read(now, place, &bytes, ending),
            Kind::Lingering => {
                if ending.is_some() {
                    self.remove(place);
                }
            }
            Kind::Serving(_) => self.serving_read(now, place, &bytes, ending),
            Kind::Store(_) => self.store_read(now, place, &bytes, ending),
            Kind::Worker(_) => self.worker_read(now, place, &bytes, ending),
        }
    }

    pub(crate) fn due(&mut self, now: Time) {
        if self.desk.next_tick().is_some_and(|at| at <= now) {
            self.decide(now, call::CallEvent::Tick);
        }
        while let Some((place, serial)) = self.timers.pop(now) {
            self.conn_due(now, place, serial);
        }
        if self.next_beat <= now {
            self.next_beat = now + HEARTBEAT_PERIOD;
            self.beat(now);
        }
        self.store_tick(now);
        self.shutdown_tick(now);
    }

    pub(crate) fn conn_due(&mut self, now: Time, place: usize, serial: u64) {
        let Some(conn) = self.conns.get_mut(place) else {
            return;
        };
        if conn.serial != serial || conn.due.is_none_or(|at| at > now) {
            return;
        }
        conn.due = None;
        match conn.kind {
            Kind::Admin(_) | Kind::Lingering | Kind::Serving(_) => {
                self.remove(place);
            }
            Kind::Caller(_) => self.caller_due(now, place),
            Kind::Fetching(_) => self.fetching_due(place),
            Kind::Store(_) => self.store_due(now, place),
            Kind::Worker(_) => self.worker_due(now, place),
        }
    }

    pub(crate) fn first_due(&mut self, now: Time, place: usize) {
        let Some(conn) = self.conns.get(place) else {
            return;
        };
        let span: Span = match conn.kind {
            Kind::Caller(_) => self.limits().idle_timeout,
            _ => ADMIN_IDLE,
        };
        self.set_due(place, now + span);
    }
}
