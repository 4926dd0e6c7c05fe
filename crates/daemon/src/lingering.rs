//! Lingering closes: a connection that carries nothing new stays until the other end has taken what
//! was written to it.

use {
    crate::{conn::ConnKind, constants::LINGER_TIMEOUT, daemon::Daemon, log_event},
    call::MAX_STALL,
    serde_json::json,
    unit::Time,
};

/// A connection whose sending side is shut down once all bytes are sent. Received bytes are dropped
/// until the other end closes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lingering {
    /// Whether it is a caller's, or another daemon's that forwarded a request.
    pub(crate) of_caller: bool,
    /// When the close began.
    began: Time,
}

impl Daemon {
    /// Begins a lingering close: sends what is buffered, for as long as the other end goes on taking
    /// it, and ends the sending side. Then the other end has [`LINGER_TIMEOUT`] to close.
    pub(crate) fn linger(&mut self, conn_key: usize, now: Time) {
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        conn.kind = ConnKind::Lingering(Lingering {
            of_caller: conn.is_of_caller(),
            began: now,
        });
        if conn.channel.has_unsent() {
            self.set_timer(conn_key, now + MAX_STALL);
        } else {
            self.end_sending(conn_key, now);
        }
    }

    /// Ends the sending side of a lingering connection once everything is sent.
    pub(crate) fn linger_sent(&mut self, conn_key: usize, now: Time) {
        let sent = self.conns.get(conn_key).is_some_and(|conn| {
            matches!(conn.kind, ConnKind::Lingering(_)) && !conn.channel.has_unsent()
        });
        if sent {
            self.end_sending(conn_key, now);
        }
    }

    /// Handles the timer of a lingering connection. Removes it, unless the other end has yet to take
    /// bytes and took some less than [`MAX_STALL`] ago.
    pub(crate) fn linger_timeout(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        let ConnKind::Lingering(lingering) = &conn.kind else {
            return;
        };
        let unsent = conn.channel.unsent_len();
        let ends_at = conn.channel.last_sent.max(lingering.began) + MAX_STALL;
        if unsent > 0 && now < ends_at {
            self.set_timer(conn_key, ends_at);
            return;
        }
        self.remove_conn(conn_key);
        if unsent > 0 {
            self.log_event(now, log_event::RESPONSE_CUT, json!({"unsent": unsent}));
        }
    }

    fn end_sending(&mut self, conn_key: usize, now: Time) {
        if let Some(conn) = self.conns.get(conn_key) {
            conn.channel.half_close();
        }
        self.set_timer(conn_key, now + LINGER_TIMEOUT);
    }
}
