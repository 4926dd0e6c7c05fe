use std::collections::VecDeque;

/// How many bytes of requests' bodies are held, or reserved for large ones that are being read.
const MAX_BYTES: usize = 32 << 20;
/// A request of which less has arrived is read on in any case, unless it follows others whose
/// responses are still due on its connection.
const SMALL_BYTES: usize = 16 << 10;

/// A connection of a caller: its place and its serial number.
pub type ReaderKey = (usize, u64);

/// A connection that is paused.
#[derive(Clone, Copy, Debug)]
struct Paused {
    key: ReaderKey,
    /// Whether a large request has begun on it.
    large: bool,
    /// The bytes that it asked for.
    need: usize,
}

/// Decides which callers' requests are read on while the bodies that are held take much memory.
///
/// A large request is read on once memory is reserved for it. Where there is none, one connection
/// alone, the *holder*, gets more than the limit, so that requests don't wait for each other for
/// ever; the next one once that request has its response. The limit is so exceeded by at most one
/// request, and by a small one for each connection.
#[derive(Debug, Default)]
pub struct BodyMemory {
    /// Whether the holder's request is complete, so that no more is read from it.
    complete: bool,
    holder: Option<ReaderKey>,
    /// The connections that are paused, the first to be read again first.
    paused: VecDeque<Paused>,
}

impl BodyMemory {
    /// Whether a connection is read in any case. `held` is what has arrived of an incomplete
    /// request; `pipelined` says whether responses are due on the connection.
    pub fn is_exempt(held: usize, pipelined: bool) -> bool {
        held < SMALL_BYTES && !pipelined
    }

    /// Whether a connection that holds `held` bytes of an incomplete request may have `need` bytes
    /// more, while bodies take `used` bytes; if not, it is paused.
    pub fn may_read(&mut self, key: ReaderKey, held: usize, need: usize, used: usize) -> bool {
        if used + need <= MAX_BYTES || (self.holder == Some(key) && !self.complete) {
            return true;
        }
        let large = held >= SMALL_BYTES;
        if self.holder.is_none() && large {
            self.holder = Some(key);
            self.complete = false;
            return true;
        }
        if !self.paused.iter().any(|paused| paused.key == key) {
            self.paused.push_back(Paused { key, large, need });
        }
        false
    }

    /// Handles that a request on a connection is complete.
    pub fn request_complete(&mut self, key: ReaderKey) {
        self.complete |= self.holder == Some(key);
    }

    /// The holder, if there is one, and whether its request is complete.
    pub fn holder(&self) -> Option<(ReaderKey, bool)> {
        self.holder.map(|holder| (holder, self.complete))
    }

    /// Ends the holder's turn: its request has its response, or its connection has ended.
    pub fn end_holder(&mut self) {
        self.holder = None;
    }

    /// Whether connections are paused.
    pub fn has_paused(&self) -> bool {
        !self.paused.is_empty()
    }

    /// Takes the connections that are to be read again, while bodies take `used` bytes: in their
    /// order as far as there is memory, or the first with a large request if there is no holder.
    pub fn take_resumed(&mut self, used: usize) -> Vec<ReaderKey> {
        let mut left = MAX_BYTES.saturating_sub(used);
        let mut resumed = Vec::new();
        while let Some(next) = self.paused.front().filter(|next| next.need <= left) {
            left -= next.need;
            resumed.push(next.key);
            self.paused.pop_front();
        }
        if resumed.is_empty() && self.holder.is_none() {
            let next = self.paused.iter().position(|paused| paused.large);
            let next = next.and_then(|at| self.paused.remove(at));
            resumed.extend(next.map(|paused| paused.key));
        }
        resumed
    }
}
