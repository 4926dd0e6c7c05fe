//! The quotas at one daemon: admits its callers' requests, and handles messages and time.

use {
    crate::{
        Admission, Allowance, Grantor, Message, QuotaAction, QuotaEvent, RequestId, SHARDS, Usage,
        Voter, account_hash,
        electorate::Electorate,
        lease::Lease,
        local_account::{LocalAccount, Waiting},
        reserve::Reserve,
        rounds::Rounds,
        shard::shard_of,
        waits::RESEND_TIME,
    },
    conf::QuotaBounds,
    fastrand::Rng,
    site::Account,
    std::net::Ipv4Addr,
    unit::{Map, Name, Set, Span, Time},
};

/// The time between two checks of the leases.
const TICK_PERIOD: Span = Span::millis(100);
/// The most requests of an account that wait at one daemon.
const MAX_WAITING: usize = 1_000;

/// The quotas of the client accounts, at one daemon: grants tokens of the shards of which it is
/// grantor, and admits the own callers' requests.
#[derive(Debug)]
pub struct Quota {
    pub(crate) accounts: Map<u32, LocalAccount>,
    pub(crate) actions: Vec<QuotaAction>,
    pub(crate) bounds: Option<QuotaBounds>,
    /// The accounts with waiting requests or a pending request for tokens.
    pub(crate) busy: Set<u32>,
    pub(crate) electorate: Electorate,
    pub(crate) events: Vec<QuotaEvent>,
    /// The reserves of accounts that had a quota until lately, by account, with the time of the change.
    gone: Map<u32, (Time, Reserve)>,
    /// The state of each shard of which this daemon is grantor, or was when that was last checked.
    pub(crate) grantors: Vec<Option<Grantor>>,
    /// Which half of the daemons the last round was for, if it was for one half.
    pub(crate) half: bool,
    /// One for each shard.
    pub(crate) leases: Vec<Lease>,
    pub(crate) names: Map<Name, u32>,
    pub(crate) next_tick: Time,
    /// The number of the last request for tokens.
    pub(crate) number: u16,
    pub(crate) own: Ipv4Addr,
    /// Whether this daemon is stopping.
    pub(crate) retired: bool,
    pub(crate) rng: Rng,
    pub(crate) rounds: Rounds,
    pub(crate) started: Time,
}

impl Quota {
    /// The state at the daemon's start: nothing has a quota.
    pub fn new(own: Ipv4Addr, now: Time, mut rng: Rng) -> Self {
        Self {
            accounts: Map::default(),
            actions: Vec::new(),
            bounds: None,
            busy: Set::default(),
            electorate: Electorate::default(),
            events: Vec::new(),
            gone: Map::default(),
            grantors: vec![None; SHARDS],
            half: false,
            leases: (0..SHARDS)
                .map(|shard| Lease::new(shard, own, now))
                .collect(),
            names: Map::default(),
            next_tick: now,
            number: rng.u16(..),
            own,
            retired: false,
            rng,
            rounds: Rounds::default(),
            started: now,
        }
    }

    /// Sets the accounts and the bounds. Without bounds there are no quotas, and without accounts
    /// that have a quota this daemon doesn't become grantor. Requests that wait for an account that
    /// has lost its quota are admitted, and refused if the account is gone.
    pub fn configure<'a>(
        &mut self,
        now: Time,
        accounts: impl IntoIterator<Item = &'a Account>,
        bounds: Option<QuotaBounds>,
    ) {
        let window_changed = self.bounds.map(|old| old.window) != bounds.map(|new| new.window);
        self.bounds = bounds;
        let mut former = std::mem::take(&mut self.accounts);
        self.names.clear();
        let mut unlimited: Set<u32> = Set::default();
        for account in accounts {
            let hash = account_hash(&account.name);
            let rate = account.rate.filter(|rate| rate.as_per_second() > 0.0);
            let (Some(bounds), Some(rate)) = (bounds, rate) else {
                unlimited.insert(hash);
                continue;
            };
            self.names.insert(account.name.clone(), hash);
            let mut allowance = Allowance::new(rate, account.burst, &bounds);
            if let Some(other) = self.accounts.get(&hash) {
                allowance = allowance.lower(other.allowance);
            }
            let mut state = former
                .remove(&hash)
                .or_else(|| self.accounts.remove(&hash))
                .unwrap_or_else(|| self.new_account(hash, allowance, bounds.window));
            if window_changed {
                state.reserve.set_window(bounds.window);
            }
            state.allowance = allowance;
            self.accounts.insert(hash, state);
        }
        self.gone
            .retain(|_, (at, _)| bounds.is_some_and(|bounds| now.since(*at) < bounds.window));
        for (hash, mut account) in former {
            self.busy.remove(&hash);
            self.gone.insert(hash, (now, account.reserve.clone()));
            for waiting in std::mem::take(&mut account.waiting) {
                self.actions.push(if unlimited.contains(&hash) {
                    QuotaAction::Admit(waiting.id)
                } else {
                    let retry_after = account.retry_after(now, now, &mut self.rng);
                    QuotaAction::Refuse(waiting.id, retry_after)
                });
            }
        }
    }

    /// The state of an account that has had no quota. If it had one a short time ago, what was used
    /// of its reserve still counts.
    fn new_account(&mut self, hash: u32, allowance: Allowance, window: Span) -> LocalAccount {
        let mut account = LocalAccount::new(hash, allowance, window);
        if let Some((_, mut reserve)) = self.gone.remove(&hash) {
            reserve.set_window(window);
            account.reserve = reserve;
        }
        account
    }

    /// Sets the registered daemons, this one included; none while they aren't known.
    pub fn set_members(&mut self, now: Time, voters: Vec<Voter>) {
        if self.electorate.set(now, voters) {
            for lease in &mut self.leases {
                lease.recount(&self.electorate);
            }
        }
    }

    /// Decides on a request of an account, which may wait for up to `max_wait`.
    pub fn admit(&mut self, now: Time, id: RequestId, account: &str, max_wait: Span) -> Admission {
        let Some(hash) = self.names.get(account).copied() else {
            return Admission::Admitted;
        };
        let holder = self.leases[shard_of(hash)].holder(now);
        let Some(state) = self.accounts.get_mut(&hash) else {
            return Admission::Admitted;
        };
        state.demand.record(now);
        if state.waiting.is_empty() && state.tokens.take(now) {
            state.admitted += 1;
            self.request_tokens(now, hash);
            return Admission::Admitted;
        }
        let denied = state.denied_until.is_some_and(|at| now < at);
        if denied || state.waiting.len() >= MAX_WAITING {
            return Admission::Refused(self.refuse(now, hash));
        }
        if holder.is_none() && state.waiting.is_empty() && self.take_reserve(now, hash) {
            return Admission::Admitted;
        }
        let deadline = now + max_wait;
        if let Some(state) = self.accounts.get_mut(&hash) {
            state.waiting.push_back(Waiting { deadline, id });
            self.busy.insert(hash);
        }
        self.request_tokens(now, hash);
        self.take_decision(id).unwrap_or(Admission::Waiting)
    }

    /// Forgets a waiting request whose caller is gone.
    pub fn cancel(&mut self, account: &str, id: RequestId) {
        let state = self
            .names
            .get(account)
            .and_then(|hash| self.accounts.get_mut(hash));
        if let Some(state) = state {
            state.waiting.retain(|waiting| waiting.id != id);
        }
    }

    /// Handles a message of another daemon. `now` must be read after the message was received, as
    /// leases are counted from it.
    pub fn handle(&mut self, now: Time, from: Ipv4Addr, message: Message) {
        if self.bounds.is_none() || !self.electorate.contains(from) {
            return;
        }
        match message {
            Message::Solicit {
                held,
                number,
                shards,
            } => self.handle_solicit(now, from, number, (shards, held)),
            Message::Support { number, shards } => {
                if let Some(asked) = self.rounds.began(number) {
                    self.handle_support(now, from, asked, shards);
                }
            }
            Message::Release { rounds } => {
                for lease in &mut self.leases {
                    lease.released(now, from, &rounds);
                }
            }
            Message::Request {
                account,
                count,
                number,
            } => {
                let reply = self.handle_request(now, from, (account, number), count);
                if let Some(reply) = reply {
                    self.send(now, from, reply);
                }
            }
            Message::Grant { count, number } => {
                if let Some((hash, pending)) = self.take_pending(from, number) {
                    self.handle_grant(now, hash, pending, count);
                }
            }
            Message::Deny {
                number,
                pause_ms,
                wait_ms,
            } => {
                if let Some((hash, _)) = self.take_pending(from, number) {
                    let pause = Span::millis(pause_ms.into());
                    self.handle_denial(now, hash, pause, Span::millis(wait_ms.into()));
                }
            }
            Message::Decline { number } => {
                if let Some((hash, _)) = self.take_pending(from, number) {
                    self.leases[shard_of(hash)].clear_holder(from);
                }
            }
        }
    }

    /// Does what is due: renews leases, repeats requests for tokens, refuses requests that have
    /// waited too long.
    pub fn tick(&mut self, now: Time) {
        if self.bounds.is_none() {
            return;
        }
        self.end_tenures(now);
        self.serve_queues(now);
        for hash in self.busy.clone() {
            self.update_account(now, hash);
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_PERIOD;
        self.update_leases(now);
        for hash in self.busy.clone() {
            self.request_tokens(now, hash);
        }
    }

    /// When [`Self::tick`] is next to be called; `None` if there are no quotas.
    pub fn next_tick(&self) -> Option<Time> {
        self.bounds?;
        let accounts = self.busy.iter().filter_map(|hash| self.accounts.get(hash));
        let due = accounts.filter_map(|account| account.next_due(RESEND_TIME));
        due.chain([self.next_tick]).chain(self.queue_due()).min()
    }

    /// Stops being grantor, for good; other daemons need not wait for the leases to end.
    pub fn retire(&mut self, now: Time) {
        self.retired = true;
        let was_candidate = self.leases.iter().any(Lease::is_candidate);
        for lease in &mut self.leases {
            lease.withdraw();
        }
        self.end_tenures(now);
        if was_candidate {
            let rounds = self.rounds.numbers(now);
            self.send_all(&Message::Release { rounds });
        }
    }

    /// The actions since the last call.
    pub fn take_actions(&mut self) -> Vec<QuotaAction> {
        std::mem::take(&mut self.actions)
    }

    /// The changes of the own role since the last call.
    pub fn take_events(&mut self) -> Vec<QuotaEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this daemon is grantor of a shard.
    pub fn holds(&self, now: Time, shard: usize) -> bool {
        self.leases[shard].holds(now)
    }

    /// The use of an account; `None` if it has no quota.
    pub fn usage(&self, now: Time, account: &str) -> Option<Usage> {
        let hash = *self.names.get(account)?;
        let grantor = self.leases[shard_of(hash)].holder(now);
        // Reading drops what has expired, which a copy is for.
        let mut state = self.accounts.get(&hash)?.clone();
        Some(Usage {
            admitted: state.admitted,
            demand: state.demand.per_second(now),
            grantor,
            refused: state.refused,
            tokens: state.tokens.count(now),
            waiting: state.waiting.len(),
        })
    }

    /// Sends a message, or handles it at once if it is to this daemon itself.
    pub(crate) fn send(&mut self, now: Time, to: Ipv4Addr, message: Message) {
        if to == self.own {
            self.handle(now, to, message);
        } else {
            self.actions.push(QuotaAction::Send(to, message));
        }
    }

    pub(crate) fn send_all(&mut self, message: &Message) {
        self.send_where(message, |_| true);
    }

    /// Sends a message to the other daemons that read it and are among those of the `filter`.
    pub(crate) fn send_where(&mut self, message: &Message, filter: impl Fn(Ipv4Addr) -> bool) {
        let own = self.own;
        let voters = self.electorate.voters().iter();
        let others = voters.filter(|voter| voter.reads && voter.ip != own && filter(voter.ip));
        let sends = others.map(|voter| QuotaAction::Send(voter.ip, message.clone()));
        self.actions.extend(sends);
    }
}
