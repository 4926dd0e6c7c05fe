use {
    crate::{Allowance, RequestId, demand::Demand, reserve::Reserve, tokens::Tokens},
    fastrand::Rng,
    std::{collections::VecDeque, net::Ipv4Addr},
    unit::{Span, Time},
};

/// Tokens are requested ahead for this much of the recent demand. It is a small part of their
/// validity, so that nearly all of them are used.
const AHEAD_S: f64 = 0.05;
/// The most requests for tokens that may be pending.
const MAX_PENDING: usize = 4;
/// The shortest time between two of them, so that callers' requests that come together are covered
/// by few.
const PENDING_GAP: Span = Span::millis(10);
/// The longest time that callers are told to wait.
const MAX_RETRY_AFTER: Span = Span::secs(30);
/// The shortest one.
const MIN_RETRY_AFTER: Span = Span::millis(100);

/// A request for tokens that isn't answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub(crate) count: u16,
    /// When it was sent first.
    pub(crate) first: Time,
    /// When it was sent last.
    pub(crate) last: Time,
    pub(crate) number: u16,
    pub(crate) to: Ipv4Addr,
}

/// A request of a caller that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) deadline: Time,
    pub(crate) id: RequestId,
}

/// What one daemon knows of an account with a quota.
#[derive(Clone, Debug)]
pub(crate) struct LocalAccount {
    /// The requests admitted since the start.
    pub(crate) admitted: u64,
    pub(crate) allowance: Allowance,
    pub(crate) demand: Demand,
    /// No tokens are requested before this time, as the grantor has none; `None` if it isn't known
    /// to have none.
    pub(crate) denied_until: Option<Time>,
    /// Oldest first.
    pub(crate) pending: Vec<Pending>,
    /// The requests refused since the start.
    pub(crate) refused: u64,
    pub(crate) reserve: Reserve,
    /// When the caller that was refused last was told to come back.
    retry_slot: Time,
    /// When the grantor expects to have tokens again.
    pub(crate) room_at: Time,
    pub(crate) tokens: Tokens,
    /// When tokens may be requested that could not be before.
    pub(crate) wake: Option<Time>,
    /// Oldest first.
    pub(crate) waiting: VecDeque<Waiting>,
}

impl LocalAccount {
    pub(crate) fn new(account: u32, allowance: Allowance, window: Span) -> Self {
        Self {
            admitted: 0,
            allowance,
            demand: Demand::default(),
            denied_until: None,
            pending: Vec::new(),
            refused: 0,
            reserve: Reserve::new(account, window),
            retry_slot: Time::ZERO,
            room_at: Time::ZERO,
            tokens: Tokens::default(),
            wake: None,
            waiting: VecDeque::new(),
        }
    }

    /// How many tokens to request now; 0 if there are enough or enough were requested.
    pub(crate) fn shortage(&mut self, now: Time) -> u16 {
        // The cast rounds down.
        let ahead = (self.demand.per_second(now) * AHEAD_S) as usize;
        let waiting = self.waiting.len();
        let tokens = self.tokens.count(now);
        let covered = tokens + self.requested();
        let next = self.pending.last().map(|last| last.first + PENDING_GAP);
        let shortage = if self.pending.is_empty() && (waiting > covered || covered <= ahead / 2) {
            (waiting + ahead).saturating_sub(covered)
        } else if self.pending.len() >= MAX_PENDING || waiting <= covered {
            0
        } else if next.is_some_and(|at| now < at) {
            self.wake = next;
            0
        } else {
            waiting - covered
        };
        u16::try_from(shortage).unwrap_or(u16::MAX)
    }

    /// The number of tokens that are requested and not granted yet.
    pub(crate) fn requested(&self) -> usize {
        let counts = self
            .pending
            .iter()
            .map(|pending| usize::from(pending.count));
        counts.sum()
    }

    /// The time that a refused caller is told to wait: until there is room and, so that callers
    /// don't come back together, one request's time more than the caller before.
    pub(crate) fn retry_after(&mut self, now: Time, room_at: Time, rng: &mut Rng) -> Span {
        let gap =
            Span::from_secs((1.0 / self.allowance.refill_rate).min(MAX_RETRY_AFTER.as_secs()));
        let earliest = room_at.max(now + MIN_RETRY_AFTER);
        let next = (self.retry_slot + gap).max(earliest);
        self.retry_slot = next.min(now + MAX_RETRY_AFTER);
        let slot = self.retry_slot.since(now) + gap.scale(rng.f64());
        slot.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// The earliest time at which something is due.
    pub(crate) fn next_due(&self, resend: Span) -> Option<Time> {
        let deadline = self.waiting.iter().map(|waiting| waiting.deadline).min();
        let resent = self
            .pending
            .iter()
            .map(|pending| pending.last + resend)
            .min();
        [deadline, resent, self.wake].into_iter().flatten().min()
    }
}
