//! Whether a worker's response is kept until it is complete or passed on while it arrives, and how
//! long passing it on may take.
//!
//! A response that is kept whole can still be replaced by that of another worker if it breaks off.
//! Of one that is passed on, the caller has a part already, so that a failure ends the connection.

use unit::{Span, Time};

/// The longest body that is kept whole, in bytes.
const MAX_WHOLE_BYTES: usize = 1 << 20;
/// The longest body that is kept whole however many responses are in memory, in bytes.
const ALWAYS_WHOLE_BYTES: usize = 32 << 10;
/// How many bytes of responses may be in memory before those above [`ALWAYS_WHOLE_BYTES`] are
/// passed on while they arrive.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// How many unsent bytes of a response stop the reading from its worker.
const PAUSE_BYTES: usize = 32 << 10;
/// How few unsent bytes let the reading go on.
const RESUME_BYTES: usize = 8 << 10;
/// How long the worker may keep the caller waiting after the request's deadline, in all.
const MAX_OVERTIME: Span = Span::millis(100);
/// How long a caller may take no bytes after the request's deadline, or once its connection closes.
pub const MAX_STALL: Span = Span::secs(2);

/// Whether a response that is still arriving is kept until it is complete. `length` is its body's
/// length in bytes if it is known, `arrived` what has arrived of it, and `buffered` tells what the
/// daemon has in memory of all responses.
pub fn keeps_whole(
    length: Option<usize>,
    arrived: usize,
    buffered: impl FnOnce() -> usize,
) -> bool {
    let size = length.unwrap_or(arrived);
    size <= ALWAYS_WHOLE_BYTES || (size <= MAX_WHOLE_BYTES && buffered() <= MAX_BUFFERED_BYTES)
}

/// Why a response that was being passed on is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// The caller takes no bytes.
    CallerStalled,
    /// The worker has not finished the response by the request's deadline.
    WorkerLate,
}

/// The one that the next bytes are awaited from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Awaited {
    /// The caller takes unsent bytes.
    Caller,
    /// The worker sends more.
    Worker,
}

/// A response that is passed on while it arrives: pauses the worker while the caller is slow, and
/// ends when either takes too long.
///
/// Before the deadline nothing ends it. After it, a caller that goes on taking bytes gets all of
/// the response, as long as the worker sends them without a further delay.
#[derive(Clone, Debug)]
pub struct Relay {
    awaited: Awaited,
    /// When the request's time is over.
    deadline: Time,
    /// How long the worker was awaited after the deadline, until `since`.
    overtime: Span,
    /// When bytes last moved.
    since: Time,
}

impl Relay {
    /// Starts to pass on a response to a request with this deadline.
    pub fn new(deadline: Time, now: Time) -> Self {
        Self {
            awaited: Awaited::Worker,
            deadline,
            overtime: Span::ZERO,
            since: now,
        }
    }

    /// Records that bytes came from the worker or were taken by the caller; `unsent` is how many
    /// the caller has yet to take.
    pub fn record_progress(&mut self, now: Time, unsent: usize) {
        self.overtime = self.overtime_at(now);
        self.since = now;
        self.awaited = match self.awaited {
            Awaited::Worker if unsent >= PAUSE_BYTES => Awaited::Caller,
            Awaited::Caller if unsent <= RESUME_BYTES => Awaited::Worker,
            awaited => awaited,
        };
    }

    /// Whether nothing is to be read from the worker for now.
    pub fn is_paused(&self) -> bool {
        self.awaited == Awaited::Caller
    }

    /// When [`Self::failure`] is to be looked at again.
    pub fn next_check(&self) -> Time {
        match self.awaited {
            Awaited::Caller => self.deadline.max(self.since) + MAX_STALL,
            Awaited::Worker => {
                self.deadline.max(self.since) + MAX_OVERTIME.saturating_sub(self.overtime)
            }
        }
    }

    /// Why the response is to be broken off now, if it is.
    pub fn failure(&self, now: Time) -> Option<RelayFailure> {
        if now < self.next_check() {
            return None;
        }
        Some(match self.awaited {
            Awaited::Caller => RelayFailure::CallerStalled,
            Awaited::Worker => RelayFailure::WorkerLate,
        })
    }

    fn overtime_at(&self, now: Time) -> Span {
        match self.awaited {
            Awaited::Caller => self.overtime,
            Awaited::Worker => self.overtime + now.since(self.deadline.max(self.since)),
        }
    }
}
