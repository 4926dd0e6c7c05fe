//! The memory that the bodies of requests take, and the reading that waits for it.

use {
    crate::{
        conn::{Conn, ConnKind},
        daemon::Daemon,
    },
    call::{BodyMemory, ReaderKey},
    unit::Time,
};

/// How often a body is held once its request is complete: in the request, and encoded for a worker.
const COPIES: usize = 2;
/// The least that is reserved for a body whose length isn't known, in bytes; then twice what has
/// arrived.
const MIN_UNKNOWN: usize = 256 << 10;

impl Daemon {
    /// How many bytes the bodies of all requests take: those that are still incomplete, with what is
    /// reserved for them, and those that have no response yet.
    fn body_bytes(&self) -> usize {
        let reading = self.conns.iter().map(|(_, conn)| reserved(conn));
        let active = self.calls.values();
        let active = active.map(|active| COPIES * active.request.body.len());
        reading.chain(active).sum()
    }

    /// Whether a caller's connection is not to be read until there is memory for its request.
    pub(crate) fn awaits_memory(&mut self, conn_key: usize) -> bool {
        let Some(conn) = self.conns.get(conn_key) else {
            return false;
        };
        let ConnKind::Caller(caller) = &conn.kind else {
            return false;
        };
        let (key, held) = ((conn_key, conn.serial), caller.reader.held());
        if BodyMemory::is_exempt(held, !caller.pipeline.is_empty()) {
            return false;
        }
        let length = caller.reader.body_length();
        let length = length.unwrap_or((2 * held).max(MIN_UNKNOWN));
        // What follows the body may have arrived with it.
        if COPIES * held.min(length) < caller.reserved {
            return false;
        }
        // Nothing is reserved for a small request behind others; it only waits.
        let large = !BodyMemory::is_exempt(held, false);
        let need = if large { COPIES * length } else { 0 };
        let extra = need.saturating_sub(reserved(conn)).max(1);
        let used = self.body_bytes();
        let waits = !self.body_memory.may_read(key, held, extra, used);
        if let Some(caller) = self.caller_conn(conn_key) {
            caller.awaits_memory = waits;
            if !waits {
                caller.reserved = need;
            }
        }
        waits
    }

    /// Reads callers' connections again that waited for memory, as far as there is some.
    pub(crate) fn resume_bodies(&mut self, now: Time) {
        if let Some((key, complete)) = self.body_memory.holder()
            && !self.needs_memory(key, complete)
        {
            self.body_memory.end_holder();
        }
        if !self.body_memory.has_paused() {
            return;
        }
        let used = self.body_bytes();
        for key in self.body_memory.take_resumed(used) {
            if self
                .conns
                .get(key.0)
                .is_none_or(|conn| conn.serial != key.1)
            {
                continue;
            }
            if let Some(caller) = self.caller_conn(key.0) {
                caller.awaits_memory = false;
                // The time in which this daemon didn't read is not the caller's.
                caller.partial_since = caller.partial_since.map(|_| now);
            }
            self.unread.push_back(key);
        }
    }

    /// Whether the holder's request still takes memory: a part of it is there, or its response is
    /// due.
    fn needs_memory(&self, key: ReaderKey, complete: bool) -> bool {
        let Some(conn) = self.conns.get(key.0).filter(|conn| conn.serial == key.1) else {
            return false;
        };
        match &conn.kind {
            ConnKind::Caller(caller) if complete => !caller.pipeline.is_empty(),
            ConnKind::Caller(caller) => caller.reader.held() > 0,
            _ => false,
        }
    }
}

/// How many bytes an incomplete request on a caller's connection takes.
fn reserved(conn: &Conn) -> usize {
    match &conn.kind {
        ConnKind::Caller(caller) => caller.reserved.max(caller.reader.held()),
        _ => 0,
    }
}
