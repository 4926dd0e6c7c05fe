use {
    crate::Allowance,
    std::{collections::VecDeque, net::Ipv4Addr},
    unit::{Span, Time},
};

/// The longest time that callers of a denied request are told to wait. A longer backlog isn't kept,
/// since callers that were refused may never come back.
const MAX_BACKLOG: Span = Span::secs(20);
/// The shortest and the longest pause after a denial.
const PAUSE: (Span, Span) = (Span::millis(20), Span::secs(1));
/// The factor by which the pause grows with each denial.
const PAUSE_INCREASE: f64 = 1.2;
/// The factor by which it shrinks with each request that is granted at once.
const PAUSE_DECREASE: f64 = 0.95;
/// The longest time for which a request for tokens is queued; a part of the time for which callers'
/// requests wait.
const MAX_QUEUE_TIME: Span = Span::millis(60);

/// A queued request for more tokens than come in this time gets them in parts.
const MAX_PART_TIME: Span = Span::millis(20);

/// A request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenRequest {
    pub(crate) count: u16,
    pub(crate) from: Ipv4Addr,
    pub(crate) number: u16,
}

/// What a bucket does with a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// None are granted.
    Denied {
        /// For how long the daemon is to request none.
        pause: Span,
        /// The time after which callers may come back.
        wait: Span,
    },
    /// So many tokens are granted, at least one.
    Granted(u16),
    /// The request is granted when there are tokens, before [`MAX_QUEUE_TIME`] is over.
    Queued,
}

/// The tokens that a grantor has for one account, and the requests for them that wait, which are
/// served in their order.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    /// When what was denied so far could have been granted.
    backlog: Time,
    /// For how long daemons that are denied tokens request none. It grows with each denial and shrinks
    /// while there are tokens, so that nearly all tokens are used and few requests are in vain,
    /// however many daemons have callers of the account.
    pause: Span,
    /// In the order of their arrival.
    queue: VecDeque<TokenRequest>,
    /// When `tokens` was last refilled.
    refilled: Time,
    /// The tokens available; only whole ones are granted.
    tokens: f64,
}

impl Bucket {
    /// A bucket that was empty when the grantor's tenure began, as nothing was granted since.
    pub(crate) fn new(since: Time) -> Self {
        Self {
            backlog: since,
            pause: PAUSE.0,
            queue: VecDeque::new(),
            refilled: since,
            tokens: 0.0,
        }
    }

    /// Handles a request for tokens.
    pub(crate) fn request(
        &mut self,
        now: Time,
        request: TokenRequest,
        allowance: &Allowance,
    ) -> Outcome {
        self.refill(now, allowance);
        let queued: u32 = self.queue.iter().map(|other| u32::from(other.count)).sum();
        if queued == 0 && self.tokens >= 1.0 {
            self.pause = self.pause.scale(PAUSE_DECREASE).max(PAUSE.0);
            return Outcome::Granted(self.take(request.count));
        }
        let missing = f64::from(queued) + 1.0 - self.tokens;
        let wait = Span::from_secs(missing / allowance.refill_rate);
        if wait > MAX_QUEUE_TIME {
            return self.deny(now, wait, request.count, allowance);
        }
        self.queue.push_back(request);
        Outcome::Queued
    }

    /// Serves the first of the queued requests if there are tokens. Returns it and how many it gets.
    pub(crate) fn serve(
        &mut self,
        now: Time,
        allowance: &Allowance,
    ) -> Option<(TokenRequest, u16)> {
        self.refill(now, allowance);
        let request = *self.queue.front()?;
        if self.tokens < part(&request, allowance) {
            return None;
        }
        self.queue.pop_front();
        Some((request, self.take(request.count)))
    }

    /// When the first of the queued requests can be served; `None` if there is none.
    pub(crate) fn next_due(&self, allowance: &Allowance) -> Option<Time> {
        let needed = part(self.queue.front()?, allowance);
        let missing = (needed - self.tokens).max(0.0);
        // Rounded up, so that the token is there at that time.
        let wait = Span::from_secs(missing / allowance.refill_rate) + Span::micros(2);
        Some(self.refilled + wait)
    }

    /// The tokens available.
    pub(crate) fn tokens(&mut self, now: Time, allowance: &Allowance) -> f64 {
        self.refill(now, allowance);
        self.tokens
    }

    /// Takes up to `count` tokens.
    fn take(&mut self, count: u16) -> u16 {
        // The cast rounds down and saturates.
        let granted = count.min(self.tokens as u16);
        self.tokens -= f64::from(granted);
        granted
    }

    /// Denies `count` tokens. The callers denied later are told a later time.
    fn deny(&mut self, now: Time, wait: Span, count: u16, allowance: &Allowance) -> Outcome {
        let needed = Span::from_secs(f64::from(count) / allowance.refill_rate);
        let next = self.backlog.max(now + wait.min(MAX_BACKLOG));
        self.backlog = (next + needed).min(now + MAX_BACKLOG);
        let wait = next.since(now);
        self.pause = self.pause.scale(PAUSE_INCREASE).min(PAUSE.1);
        Outcome::Denied {
            pause: self.pause.min(wait),
            wait,
        }
    }

    fn refill(&mut self, now: Time, allowance: &Allowance) {
        let gained = now.since(self.refilled).as_secs() * allowance.refill_rate;
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + gained).min(allowance.capacity);
    }
}

/// How many tokens a queued request waits for.
fn part(request: &TokenRequest, allowance: &Allowance) -> f64 {
    let most = allowance.refill_rate * MAX_PART_TIME.as_secs();
    f64::from(request.count).min(most.floor().max(1.0))
}
