//! Callers' requests that wait for tokens, and what becomes of them.

use {
    crate::{
        Admission, Message, Quota, QuotaAction, RequestId,
        lease::LEASE,
        local_account::{LocalAccount, Waiting},
        shard::shard_of,
    },
    unit::{Span, Time},
};

/// After this time without an answer a request for tokens is repeated.
pub(crate) const RESEND_TIME: Span = Span::millis(70);
/// After this time without an answer it is given up.
const GIVE_UP_TIME: Span = Span::millis(200);
/// The time within which another daemon mostly becomes grantor.
const ELECTION_TIME: Span = Span::secs(3);

impl Quota {
    /// Repeats unanswered requests for tokens or gives them up, refuses requests that have waited too
    /// long, and requests tokens if they are short.
    pub(crate) fn update_account(&mut self, now: Time, hash: u32) {
        let Some(state) = self.accounts.get_mut(&hash) else {
            self.busy.remove(&hash);
            return;
        };
        if state.denied_until.is_some_and(|at| at <= now) {
            state.denied_until = None;
        }
        state.wake = state.wake.filter(|at| now < *at);
        state
            .pending
            .retain(|pending| now.since(pending.first) < GIVE_UP_TIME);
        let mut repeated = Vec::new();
        for pending in &mut state.pending {
            if now.since(pending.last) >= RESEND_TIME {
                pending.last = now;
                repeated.push(*pending);
            }
        }
        for pending in repeated {
            let message = Message::Request {
                account: hash,
                count: pending.count,
                number: pending.number,
            };
            self.send(now, pending.to, message);
        }
        self.end_waits(now, hash);
        self.request_tokens(now, hash);
        let idle = |state: &LocalAccount| state.waiting.is_empty() && state.pending.is_empty();
        if self.accounts.get(&hash).is_none_or(idle) {
            self.busy.remove(&hash);
        }
    }

    /// Decides on waiting requests whose time is over. As the grantor didn't answer, the reserve is
    /// used.
    pub(crate) fn end_waits(&mut self, now: Time, hash: u32) {
        loop {
            let Some(state) = self.accounts.get_mut(&hash) else {
                return;
            };
            let over = |waiting: &Waiting| waiting.deadline <= now;
            let Some(index) = state.waiting.iter().position(over) else {
                return;
            };
            let Some(waiting) = state.waiting.remove(index) else {
                return;
            };
            let action = if self.take_reserve(now, hash) {
                QuotaAction::Admit(waiting.id)
            } else {
                QuotaAction::Refuse(waiting.id, self.refuse(now, hash))
            };
            self.actions.push(action);
        }
    }

    /// Counts a refused request; returns the time after which its caller may come back.
    pub(crate) fn refuse(&mut self, now: Time, hash: u32) -> Span {
        let has_grantor = self.leases[shard_of(hash)].holder(now).is_some();
        let Some(state) = self.accounts.get_mut(&hash) else {
            return LEASE;
        };
        state.refused += 1;
        let room_at = if has_grantor {
            state.room_at
        } else {
            now + ELECTION_TIME.scale(self.rng.f64())
        };
        state.retry_after(now, room_at, &mut self.rng)
    }

    /// Admits a request of an account from the reserve. The reserve isn't used in the first window
    /// after the start, as the process before may have used it.
    pub(crate) fn take_reserve(&mut self, now: Time, hash: u32) -> bool {
        let Some(bounds) = self.bounds else {
            return false;
        };
        let Some(state) = self.accounts.get_mut(&hash) else {
            return false;
        };
        let total = state.allowance.reserve;
        let taken = now.since(self.started) >= bounds.window
            && state.reserve.take(now, total, self.own, &self.electorate);
        state.admitted += u64::from(taken);
        taken
    }

    /// Takes the decision on a request out of the actions, if there is one.
    pub(crate) fn take_decision(&mut self, id: RequestId) -> Option<Admission> {
        let decides = |action: &QuotaAction| match action {
            QuotaAction::Admit(other) | QuotaAction::Refuse(other, _) => *other == id,
            QuotaAction::Send(..) => false,
        };
        let index = self.actions.iter().position(decides)?;
        match self.actions.remove(index) {
            QuotaAction::Refuse(_, retry_after) => Some(Admission::Refused(retry_after)),
            _ => Some(Admission::Admitted),
        }
    }
}
