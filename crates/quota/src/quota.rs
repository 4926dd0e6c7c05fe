use {
    crate::{
        Allowance, Grantor, Message, SHARDS, VALIDITY, Voter, account_hash,
        electorate::Electorate,
        lease::{ELECTION_PERIOD, LEASE, Lease, RENEW_PERIOD},
        local_account::{LocalAccount, Pending, Waiting},
        rounds::Rounds,
        shard::{candidate_rank, shard_of},
    },
    conf::QuotaBounds,
    fastrand::Rng,
    site::Account,
    std::net::Ipv4Addr,
    unit::{Map, Name, Set, Span, Time},
};

/// The time between two checks of the leases.
const TICK_PERIOD: Span = Span::millis(100);
/// After this time without an answer a request for tokens is repeated.
const RESEND_TIME: Span = Span::millis(70);
/// After this time without an answer it is given up.
const GIVE_UP_TIME: Span = Span::millis(200);
/// In fleets larger than this, each round of a grantor is for half of the daemons. A lost message then
/// costs a lease for a second or so, but a quorum is left.
const LARGE_FLEET: usize = 200;
/// The time within which another daemon mostly becomes grantor.
const ELECTION_TIME: Span = Span::secs(3);
/// The most requests of an account that wait at one daemon.
const MAX_WAITING: usize = 1_000;

/// The number by which the owner of a [`Quota`] knows a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is within the quota.
    Admitted,
    /// It isn't, or that can't be found out; the caller may come back after the time.
    Refused(Span),
    /// A [`QuotaAction`] will say.
    Waiting,
}

/// What the owner of a [`Quota`] is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaAction {
    /// Admit a waiting request.
    Admit(RequestId),
    /// Refuse a waiting request; its caller may come back after the time.
    Refuse(RequestId, Span),
    /// Send a message to a daemon.
    Send(Ipv4Addr, Message),
}

/// A change of the own role, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaEvent {
    /// This daemon has become grantor of a shard.
    TenureBegan(usize),
    /// It no longer is.
    TenureEnded(usize),
}

/// What this daemon knows of the use of an account's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The requests that this daemon admitted since its start.
    pub admitted: u64,
    /// The requests per second that it got lately.
    pub demand: f64,
    /// The daemon that grants the account's tokens, if one is known.
    pub grantor: Option<Ipv4Addr>,
    /// The requests that this daemon refused since its start.
    pub refused: u64,
    /// The tokens that this daemon may use now.
    pub tokens: usize,
    /// The requests that wait here for tokens.
    pub waiting: usize,
}

/// The quotas of the client accounts, at one daemon: grants tokens of the shards of which it is
/// grantor, and admits the own callers' requests.
#[derive(Debug)]
pub struct Quota {
    accounts: Map<u32, LocalAccount>,
    actions: Vec<QuotaAction>,
    bounds: Option<QuotaBounds>,
    /// The accounts with waiting requests or a pending request for tokens.
    busy: Set<u32>,
    electorate: Electorate,
    events: Vec<QuotaEvent>,
    /// The state of each shard of which this daemon is grantor, or was when that was last checked.
    grantors: Vec<Option<Grantor>>,
    /// Which half of the daemons the last round was for, if it was for one half.
    half: bool,
    /// One for each shard.
    leases: Vec<Lease>,
    names: Map<Name, u32>,
    next_tick: Time,
    /// The number of the last request for tokens.
    number: u16,
    own: Ipv4Addr,
    /// Whether this daemon is stopping.
    retired: bool,
    rng: Rng,
    rounds: Rounds,
    started: Time,
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
                .unwrap_or_else(|| LocalAccount::new(hash, allowance, bounds.window));
            if window_changed {
                state.reserve.set_window(bounds.window);
            }
            state.allowance = allowance;
            self.accounts.insert(hash, state);
        }
        for (hash, mut account) in former {
            self.busy.remove(&hash);
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

    fn handle_solicit(&mut self, now: Time, from: Ipv4Addr, number: u32, (shards, held): (u8, u8)) {
        let mut supported = 0;
        for (shard, lease) in self.leases.iter_mut().enumerate() {
            let bit = 1 << shard;
            let holds = held & bit != 0;
            if shards & bit != 0 && lease.solicited(now, from, (number, holds), &self.electorate) {
                supported |= bit;
            }
        }
        self.end_tenures(now);
        if supported != 0 {
            let message = Message::Support {
                number,
                shards: supported,
            };
            self.send(now, from, message);
        }
        if held != 0 {
            for hash in self.busy.clone() {
                self.request_tokens(now, hash);
            }
        }
    }

    fn handle_support(&mut self, now: Time, from: Ipv4Addr, asked: Time, shards: u8) {
        let mut began = false;
        for shard in (0..SHARDS).filter(|shard| shards & (1 << shard) != 0) {
            if self.leases[shard].supported(now, from, asked, &self.electorate) {
                self.begin_tenure(now, shard);
                began = true;
            }
        }
        if began {
            // Tells the others at once whom to request tokens from.
            self.begin_round(now, true);
        }
    }

    fn begin_tenure(&mut self, now: Time, shard: usize) {
        self.grantors[shard] = Some(Grantor::new(now));
        self.events.push(QuotaEvent::TenureBegan(shard));
    }

    /// Drops the state of shards of which this daemon is no longer grantor.
    fn end_tenures(&mut self, now: Time) {
        for shard in 0..SHARDS {
            if !self.leases[shard].holds(now) && self.grantors[shard].take().is_some() {
                self.events.push(QuotaEvent::TenureEnded(shard));
            }
        }
    }

    /// Decides of which shards this daemon is a candidate, and
    /// begins a round if one is due.
    fn update_leases(&mut self, now: Time) {
        let mut elects = false;
        let mut candidate = false;
        for shard in 0..SHARDS {
            let rank = self.own_rank(shard);
            let lease = &mut self.leases[shard];
            elects |= lease.update_candidacy(now, rank);
            elects |= lease.is_candidate() && !lease.holds(now);
            candidate |= lease.is_candidate();
        }
        let period = if elects {
            ELECTION_PERIOD
        } else {
            RENEW_PERIOD
        };
        if candidate && self.rounds.is_due(now, period) {
            self.begin_round(now, false);
        }
        for grantor in self.grantors.iter_mut().flatten() {
            grantor.prune(now);
        }
    }

    /// How many candidates for a shard come before this daemon; `None` if it can't be one.
    fn own_rank(&self, shard: usize) -> Option<usize> {
        if self.retired || self.names.is_empty() {
            return None;
        }
        let own = candidate_rank(shard, self.own);
        let voters = self.electorate.voters();
        let eligible = voters.iter().filter(|voter| voter.eligible);
        let ranks = eligible.map(|voter| candidate_rank(shard, voter.ip));
        let mut before = 0;
        let mut is_eligible = false;
        for rank in ranks {
            before += usize::from(rank < own);
            is_eligible |= rank == own;
        }
        is_eligible.then_some(before)
    }

    /// Asks the other daemons for support for the shards of which this one is a candidate. In a large
    /// fleet each round of a grantor is for every other daemon.
    fn begin_round(&mut self, now: Time, announces: bool) {
        let number = self.rounds.begin(now, &mut self.rng);
        let mut shards = 0;
        let mut held = 0;
        for shard in 0..SHARDS {
            if !self.leases[shard].is_candidate() {
                continue;
            }
            shards |= 1 << shard;
            if self.leases[shard].begin_round(now, number, &self.electorate) {
                self.begin_tenure(now, shard);
            }
            if self.leases[shard].holds(now) {
                held |= 1 << shard;
            }
        }
        if shards == 0 {
            return;
        }
        let message = Message::Solicit {
            held,
            number,
            shards,
        };
        self.half = !self.half;
        let renews = shards == held && !announces;
        if renews && self.electorate.len() > LARGE_FLEET {
            let half = self.half;
            self.send_where(&message, |ip| (u32::from(ip) % 2 == 0) == half);
        } else {
            self.send_all(&message);
        }
    }

    /// Handles a daemon's request for tokens. Returns the reply; `None` if the request is queued.
    fn handle_request(
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
    fn serve_queues(&mut self, now: Time) {
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
    fn queue_due(&self) -> Option<Time> {
        let allowance = |hash: u32| self.accounts.get(&hash).map(|account| account.allowance);
        let grantors = self.grantors.iter().flatten();
        grantors
            .filter_map(|grantor| grantor.next_due(allowance))
            .min()
    }

    /// Requests tokens if some are short, none are requested yet, and a grantor is known.
    fn request_tokens(&mut self, now: Time, hash: u32) {
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
    fn take_pending(&mut self, from: Ipv4Addr, number: u16) -> Option<(u32, Pending)> {
        let answered = |pending: &Pending| pending.to == from && pending.number == number;
        self.busy.iter().find_map(|hash| {
            let pending = &mut self.accounts.get_mut(hash)?.pending;
            let index = pending.iter().position(answered)?;
            Some((*hash, pending.remove(index)))
        })
    }

    fn handle_grant(&mut self, now: Time, hash: u32, pending: Pending, count: u16) {
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
    fn handle_denial(&mut self, now: Time, hash: u32, pause: Span, wait: Span) {
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

    /// Repeats unanswered requests for tokens or gives them up, refuses requests that have waited too
    /// long, and requests tokens if they are short.
    fn update_account(&mut self, now: Time, hash: u32) {
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
    fn end_waits(&mut self, now: Time, hash: u32) {
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
    fn refuse(&mut self, now: Time, hash: u32) -> Span {
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
    fn take_reserve(&mut self, now: Time, hash: u32) -> bool {
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
    fn take_decision(&mut self, id: RequestId) -> Option<Admission> {
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

    /// Sends a message, or handles it at once if it is to this daemon itself.
    fn send(&mut self, now: Time, to: Ipv4Addr, message: Message) {
        if to == self.own {
            self.handle(now, to, message);
        } else {
            self.actions.push(QuotaAction::Send(to, message));
        }
    }

    fn send_all(&mut self, message: &Message) {
        self.send_where(message, |_| true);
    }

    /// Sends a message to the other daemons that read it and are among those of the `filter`.
    fn send_where(&mut self, message: &Message, filter: impl Fn(Ipv4Addr) -> bool) {
        let own = self.own;
        let voters = self.electorate.voters().iter();
        let others = voters.filter(|voter| voter.reads && voter.ip != own && filter(voter.ip));
        let sends = others.map(|voter| QuotaAction::Send(voter.ip, message.clone()));
        self.actions.extend(sends);
    }
}
