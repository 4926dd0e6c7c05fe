use {
    crate::{Begin, Outcome, Ticket},
    std::collections::{HashMap, VecDeque},
    unit::Name,
};

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a key is kept after the latest end of its ticket, in milliseconds; above 0.
    pub grace: u64,
    /// Keys that are remembered at once, at most.
    pub keys: usize,
    /// The longest ticket, in milliseconds.
    pub ticket: u64,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    /// Identifies the request's method, target and body.
    digest: u64,
    /// When it is forgotten, unless it still runs.
    end: u64,
    state: State<A>,
    /// The end of the ticket that it last came with.
    ticket: u64,
}

#[derive(Clone, Debug)]
enum State<A> {
    Lost,
    NotRun,
    Ran(A),
    Running,
}

/// One life's memory of the keys that ran under its tickets.
///
/// A request that was called not run stays so under its ticket, since a copy of it may still be on
/// its way; it can run with a later ticket.
///
/// A key is forgotten only when every ticket that it can come with has ended: an entry is kept
/// until `grace` after the latest end that a ticket may have, judged by the clock that judges
/// the tickets. Times are milliseconds since the Unix epoch by a clock that never goes back.
#[derive(Clone, Debug)]
pub struct Ledger<A> {
    daemon: Name,
    /// Keys are chosen by callers, so this map keeps the standard, keyed hasher.
    entries: HashMap<String, Entry<A>>,
    /// The keys with the time at which they are forgotten, in that order.
    ends: VecDeque<(u64, String)>,
    life: u64,
    limits: Limits,
}

impl<A: Clone> Ledger<A> {
    /// The empty memory of the life `life` of `daemon`.
    pub fn new(daemon: Name, life: u64, limits: Limits) -> Self {
        Self {
            daemon,
            ends: VecDeque::new(),
            entries: HashMap::new(),
            life,
            limits,
        }
    }

    /// Decides what to do with a request; `digest` identifies its method, target and body.
    pub fn begin(&mut self, now: u64, key: &str, ticket: &Ticket, digest: u64) -> Begin<A> {
        self.forget(now);
        if ticket.daemon != self.daemon || ticket.life != self.life {
            return Begin::Foreign;
        }
        if let Some(entry) = self.entries.get(key) {
            return match &entry.state {
                _ if entry.digest != digest => Begin::Mismatch,
                State::Lost => Begin::Lost,
                State::NotRun if ticket.expiry > entry.ticket => {
                    self.begin_new(now, key, ticket, digest)
                }
                State::NotRun if ticket.expiry == entry.ticket => Begin::NotRun,
                State::NotRun => Begin::Expired,
                State::Ran(answer) => Begin::Known(answer.clone()),
                State::Running => Begin::Running,
            };
        }
        if self.entries.len() >= self.limits.keys {
            return Begin::Full;
        }
        self.begin_new(now, key, ticket, digest)
    }

    /// Records how a request that [`Self::begin`] let run has ended.
    ///
    pub fn end(&mut self, key: &str, outcome: Outcome, answer: A) {
        match outcome {
            Outcome::NotRun => self.set(key, State::NotRun),
            Outcome::Ran => self.set(key, State::Ran(answer)),
            Outcome::Unknown => self.set(key, State::Lost),
        }
    }

    /// The number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn begin_new(&mut self, now: u64, key: &str, ticket: &Ticket, digest: u64) -> Begin<A> {
        if ticket.expiry <= now || ticket.expiry > now + self.limits.ticket {
            return Begin::Expired;
        }
        let end = now + self.limits.ticket + self.limits.grace;
        let entry = Entry {
            digest,
            end,
            state: State::Running,
            ticket: ticket.expiry,
        };
        self.entries.insert(key.to_owned(), entry);
        self.ends.push_back((end, key.to_owned()));
        Begin::Run
    }

    fn set(&mut self, key: &str, state: State<A>) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
        }
    }

    fn forget(&mut self, now: u64) {
        while self.ends.front().is_some_and(|(end, _)| *end <= now) {
            let Some((_, key)) = self.ends.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if matches!(entry.state, State::Running) {
                entry.end = now + self.limits.grace;
                self.ends.push_back((entry.end, key));
            } else if entry.end <= now {
                self.entries.remove(&key);
            }
        }
    }
}
