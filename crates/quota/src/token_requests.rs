//! Requests for tokens: those of this daemon and their answers, and those of others to this one as
//! grantor.

use {
    crate::{
        Message, Quota, QuotaAction, VALIDITY,
        local_account::{Pending, Waiting},
        shard::shard_of,
    },
    std::net::Ipv4Addr,
    unit::{Span, Time},
};

impl Quota {
    /// Handles a daemon's request for tokens. Returns the reply; `None` if the request is queued.
    pub(crate) fn handle_request(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        (hash, number): (u32, u16),
        count: u16,
    ) -> Option<Message> {
        let shard = shard_of(hash);
        let grantor = self.grantors[shard].as_mut();
        let account = self.accounts.get(&hash);
        match (grantor, account) {
            (Some(grantor), Some(account)) if self.leases[shard].holds(now) => {
                grantor.request(now, from, (hash, number), count, &account.allowance)
            }
            _ => Some(Message::Decline { number }),
        }
    }

    /// Grants tokens to the daemons whose requests are queued.
    pub(crate) fn serve_queues(&mut self, now: Time) {
        let accounts = &self.accounts;
        let allowance = |hash: u32| accounts.get(&hash).map(|account| account.allowance);
        let mut replies = Vec::new();
        for (lease, grantor) in self.leases.iter().zip(&mut self.grantors) {
            if let Some(grantor) = grantor.as_mut().filter(|_| lease.holds(now)) {
                replies.extend(grantor.serve(now, allowance));
            }
        }
        for (to, reply) in replies {
            self.send(now, to, reply);
        }
    }

    /// When the next queued request for tokens can be served.
    pub(crate) fn queue_due(&self) -> Option<Time> {
        let allowance = |hash: u32| self.accounts.get(&hash).map(|account| account.allowance);
        let grantors = self.grantors.iter().flatten();
        grantors
            .filter_map(|grantor| grantor.next_due(allowance))
            .min()
    }

    /// Requests tokens if some are short, none are requested yet, and a grantor is known.
    pub(crate) fn request_tokens(&mut self, now: Time, hash: u32) {
        let Some(to) = self.leases[shard_of(hash)].holder(now) else {
            return;
        };
        let Some(state) = self.accounts.get_mut(&hash) else {
            return;
        };
        if let Some(at) = state.denied_until.filter(|at| now < *at) {
            state.wake = (!state.waiting.is_empty()).then_some(at);
            return;
        }
        let count = state.shortage(now);
        if count == 0 {
            return;
        }
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        state.denied_until = None;
        state.pending.push(Pending {
            count,
            first: now,
            last: now,
            number,
            to,
        });
        self.busy.insert(hash);
        let message = Message::Request {
            account: hash,
            count,
            number,
        };
        self.send(now, to, message);
    }

    /// Removes the pending request for tokens that a daemon answers, and returns its account.
    pub(crate) fn take_pending(&mut self, from: Ipv4Addr, number: u16) -> Option<(u32, Pending)> {
        let answered = |pending: &Pending| pending.to == from && pending.number == number;
        self.busy.iter().find_map(|hash| {
            let pending = &mut self.accounts.get_mut(hash)?.pending;
            let index = pending.iter().position(answered)?;
            Some((*hash, pending.remove(index)))
        })
    }

    pub(crate) fn handle_grant(&mut self, now: Time, hash: u32, pending: Pending, count: u16) {
        let Some(state) = self.accounts.get_mut(&hash) else {
            return;
        };
        let expires = pending.first + VALIDITY;
        state.tokens.add(count.min(pending.count), expires);
        while !state.waiting.is_empty() && state.tokens.take(now) {
            if let Some(waiting) = state.waiting.pop_front() {
                state.admitted += 1;
                self.actions.push(QuotaAction::Admit(waiting.id));
            }
        }
        self.update_account(now, hash);
    }

    /// Handles that the grantor has no tokens: refuses the waiting requests that no other request for
    /// tokens covers. Tokens that come later would be too late for most of them.
    pub(crate) fn handle_denial(&mut self, now: Time, hash: u32, pause: Span, wait: Span) {
        let Some(state) = self.accounts.get_mut(&hash) else {
            return;
        };
        state.room_at = now + wait;
        state.denied_until = Some(now + pause);
        let uncovered = state.waiting.len().saturating_sub(state.requested());
        let refused: Vec<Waiting> = state.waiting.drain(..uncovered).collect();
        for waiting in refused {
            let retry_after = self.refuse(now, hash);
            self.actions
                .push(QuotaAction::Refuse(waiting.id, retry_after));
        }
        self.update_account(now, hash);
    }
}
