use {
    crate::{
        Action, CallId, Failure, News,
        registration::{Registration, Stage},
        topic::{Follow, Phase, readable},
    },
    fastrand::Rng,
    platform::{Call, MemberEntry, Object, Reply},
    site::{Change, Departure, Edition, Item, Rev, Revs, Topic},
    unit::{Name, Span, Time},
};

/// How long a call that doesn't wait may take.
const CALL_TIME: Span = Span::millis(1_500);
/// How long the store waits for a change before it answers a watch without one.
const WATCH_WAIT: Span = Span::secs(6);
/// How much longer than its wait a watch may take.
const WATCH_SLACK: Span = Span::millis(1_500);
/// The pause between the answer to a watch and the next, so that changes that come together are
/// told together.
const GATHER: Span = Span::millis(120);
/// How long after a failure of the store a missing worker may be one that will come back.
const TROUBLE: Span = Span::secs(4);
/// How often a daemon reads the entries of all, on average.
const REFRESH: Span = Span::secs(600);
/// How long a watch may lack what another daemon already told.
const OUTRUN: Span = Span::millis(800);
/// How long a daemon that reads from others holds the store for failing.
const FAILING: Span = Span::secs(3);

/// Whether this daemon follows the topics in the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It learns them from other daemons.
    Reader,
    /// It watches them for itself and others.
    Watcher,
}

/// The client of the platform's store.
#[derive(Debug)]
pub struct Client {
    actions: Vec<Action>,
    /// When the store last failed or refused a call, where it hasn't answered since.
    failing: Option<Time>,
    follows: [Follow; 3],
    next_call: u64,
    registration: Registration,
    rng: Rng,
    role: Role,
    /// When the store last failed a call.
    trouble: Option<Time>,
}

impl Client {
    /// A client that first registers the daemon `own`.
    pub fn new(own: MemberEntry, now: Time, rng: Rng) -> Self {
        Self {
            actions: Vec::new(),
            failing: None,
            follows: Topic::ALL.map(Follow::new),
            next_call: 0,
            registration: Registration::new(own, now),
            rng,
            role: Role::Reader,
            trouble: None,
        }
    }

    /// Whether the last call failed and no other has succeeded since; for a reader, only lately.
    pub fn failing(&self, now: Time) -> bool {
        self.failing
            .is_some_and(|at| self.role == Role::Watcher || now.since(at) < FAILING)
    }

    /// Whether all topics are being watched, so that what is known of them is current.
    pub fn watching(&self) -> bool {
        let current = |follow: &Follow| match follow.phase {
            Phase::Watching(_) => true,
            Phase::Pause(_) => follow.current,
            Phase::Listing { .. } | Phase::Off => false,
        };
        self.role == Role::Watcher && self.failing.is_none() && self.follows.iter().all(current)
    }

    /// The role.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Takes on or gives up the watch.
    pub fn set_role(&mut self, role: Role, now: Time) -> Vec<Action> {
        if role != self.role {
            if !self.failing(now) {
                // A failure from before says nothing of the store now.
                self.failing = None;
            }
            self.role = role;
            for at in 0..self.follows.len() {
                self.turn(at, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes away the entry of a daemon that is gone for good. Where that fails, the entry is found
    /// again with the next list.
    pub fn remove_member(&mut self, name: Name, rev: Rev) -> Vec<Action> {
        self.call(Call::RemoveMember(name, rev), CALL_TIME);
        std::mem::take(&mut self.actions)
    }

    /// Takes in that another daemon knew a topic further. Where the own watch doesn't tell the same
    /// soon, it is broken off and begun anew.
    pub fn outrun(&mut self, topic: Topic, now: Time) {
        let follow = &mut self.follows[index(topic)];
        if matches!(follow.phase, Phase::Watching(_)) {
            follow.outrun.get_or_insert(now);
        }
    }

    /// Does what is due; `revs` is what this daemon knows of the topics.
    pub fn tick(&mut self, now: Time, revs: &Revs) -> Vec<Action> {
        for at in 0..self.follows.len() {
            self.check_outrun(at, now);
            if let Phase::Pause(until) = self.follows[at].phase
                && until <= now
            {
                self.start(at, revs);
            }
        }
        if let Stage::Pause(until) = self.registration.stage
            && until <= now
        {
            self.register();
        }
        std::mem::take(&mut self.actions)
    }

    /// When [`Self::tick`] is due next.
    pub fn next_tick(&self) -> Option<Time> {
        let topics = self.follows.iter().filter_map(|follow| match follow.phase {
            Phase::Pause(until) => Some(until),
            _ => None,
        });
        let own = match self.registration.stage {
            Stage::Pause(until) => Some(until),
            _ => None,
        };
        topics.chain(own).min()
    }

    /// Takes in the answer to a call, or why there is none.
    pub fn answered(
        &mut self,
        now: Time,
        id: CallId,
        answer: Result<Reply, Failure>,
    ) -> Vec<Action> {
        let usable = !matches!(answer, Err(_) | Ok(Reply::Refused(_)));
        let mut follows = self.follows.iter();
        let follow = follows.position(|follow| follow.call() == Some(id));
        let topic = follow.map(|at| self.follows[at].topic);
        if usable {
            self.well();
        } else {
            self.failed(now, topic);
        }
        let reply = answer.ok().filter(|_| usable);
        match (follow, reply) {
            (Some(at), Some(reply)) => self.topic_reply(now, at, reply),
            (Some(at), None) => self.topic_failed(now, at),
            (None, reply) if self.registration.call() == Some(id) => match reply {
                Some(reply) => self.member_reply(now, reply),
                None => self.member_failed(now),
            },
            (None, _) => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// How a worker's departure is to be read now.
    pub fn departure(&self, now: Time) -> Departure {
        match self.trouble {
            Some(at) if now.since(at) < TROUBLE => Departure::Lapsed,
            _ => Departure::Left,
        }
    }

    fn check_outrun(&mut self, at: usize, now: Time) {
        let follow = &mut self.follows[at];
        let (Phase::Watching(call), Some(since)) = (&follow.phase, follow.outrun) else {
            return;
        };
        if now.since(since) < OUTRUN {
            return;
        }
        let (call, topic) = (*call, follow.topic);
        follow.outrun = None;
        self.actions.push(Action::Cancel(call));
        self.failed(now, Some(topic));
        self.topic_failed(now, at);
    }

    fn turn(&mut self, at: usize, now: Time) {
        let follow = &mut self.follows[at];
        follow.current = false;
        follow.seen = Rev::default();
        match self.role {
            Role::Watcher => follow.phase = Phase::Pause(now),
            Role::Reader => {
                if let Some(call) = follow.call() {
                    self.actions.push(Action::Cancel(call));
                }
                follow.phase = Phase::Off;
            }
        }
    }

    /// Reads a topic of which nothing is known, and watches any other.
    fn start(&mut self, at: usize, revs: &Revs) {
        let topic = self.follows[at].topic;
        let known = revs.of(topic);
        if known == Rev::default() {
            self.list(at);
            return;
        }
        let from = known.max(self.follows[at].seen);
        let watch = Call::Watch {
            from,
            topic,
            wait: WATCH_WAIT,
        };
        let call = self.call(watch, WATCH_WAIT + WATCH_SLACK);
        self.follows[at].phase = Phase::Watching(call);
    }

    fn call(&mut self, call: Call, time: Span) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.actions.push(Action::Call(id, call, time));
        id
    }

    fn well(&mut self) {
        if self.failing.take().is_some() {
            self.actions.push(Action::News(News::Regained));
        }
    }

    fn failed(&mut self, now: Time, topic: Option<Topic>) {
        self.trouble = Some(now);
        if self.failing.replace(now).is_none() {
            self.actions.push(Action::News(News::Lost(topic)));
        }
    }

    fn topic_failed(&mut self, now: Time, at: usize) {
        let pause = self.follows[at].backoff.next(&mut self.rng);
        self.follows[at].current = false;
        self.follows[at].phase = Phase::Pause(now + pause);
    }

    fn topic_reply(&mut self, now: Time, at: usize, reply: Reply) {
        self.follows[at].backoff.reset();
        self.follows[at].outrun = None;
        let topic = self.follows[at].topic;
        match reply {
            Reply::Page { next, objects, rev } => self.page(now, at, next, objects, rev),
            Reply::Events(objects, rev) => {
                let items = self.items(topic, objects, now);
                if let Some(newest) = items.iter().map(|item| item.rev).max() {
                    self.change(topic, false, items, newest, now);
                }
                self.follows[at].seen = self.follows[at].seen.max(rev);
                self.follows[at].current = true;
                self.follows[at].phase = Phase::Pause(now + GATHER);
            }
            Reply::Compacted => self.list(at),
            Reply::Conflict | Reply::Done | Reply::NotFound | Reply::Refused(_) => {
                self.topic_failed(now, at);
            }
        }
    }

    /// Reads a topic in full.
    fn list(&mut self, at: usize) {
        let topic = self.follows[at].topic;
        let call = self.call(Call::List { after: None, topic }, CALL_TIME);
        self.follows[at].phase = Phase::Listing {
            call,
            items: Vec::new(),
            rev: None,
        };
    }

    fn page(
        &mut self,
        now: Time,
        at: usize,
        next: Option<Name>,
        objects: Vec<Object>,
        page_rev: Rev,
    ) {
        let topic = self.follows[at].topic;
        let page = self.items(topic, objects, now);
        let Phase::Listing { items, rev, .. } = &mut self.follows[at].phase else {
            return;
        };
        items.extend(page);
        let rev = *rev.get_or_insert(page_rev);
        let items = std::mem::take(items);
        if next.is_none() {
            self.change(topic, true, items, rev, now);
            self.follows[at].current = true;
            self.follows[at].phase = Phase::Pause(now);
            return;
        }
        let call = self.call(Call::List { after: next, topic }, CALL_TIME);
        self.follows[at].phase = Phase::Listing {
            call,
            items,
            rev: Some(rev),
        };
    }

    fn items(&mut self, topic: Topic, objects: Vec<Object>, now: Time) -> Vec<Edition<Item>> {
        let departure = self.departure(now);
        let actions = &mut self.actions;
        let mut gone = Vec::new();
        let mut items = readable(objects, |object| {
            if let Object::Unreadable { name, reason, rev } = object {
                if topic == Topic::Workers && !name.is_empty() {
                    let value = Item::WorkerGone(name.clone(), departure);
                    gone.push(Edition { rev, value });
                }
                actions.push(Action::News(News::Unreadable(name, reason)));
            }
        });
        items.extend(gone);
        items
    }

    fn change(&mut self, topic: Topic, full: bool, items: Vec<Edition<Item>>, rev: Rev, now: Time) {
        let change = Change {
            absent: self.departure(now),
            full,
            items,
            rev,
            topic,
        };
        self.actions.push(Action::News(News::Change(change)));
    }

    fn register(&mut self) {
        if self.registration.entered {
            self.list_members(None, Vec::new());
            return;
        }
        let own = self.registration.own.clone();
        let call = self.call(Call::CreateMember(own), CALL_TIME);
        self.registration.stage = Stage::Creating(call);
    }

    fn list_members(&mut self, after: Option<Name>, found: Vec<(Rev, MemberEntry)>) {
        let call = self.call(Call::ListMembers { after }, CALL_TIME);
        self.registration.stage = Stage::Listing { call, found };
    }

    fn member_failed(&mut self, now: Time) {
        self.registration.lost |= matches!(self.registration.stage, Stage::Creating(_));
        let pause = self.registration.backoff.next(&mut self.rng);
        self.registration.stage = Stage::Pause(now + pause);
    }

    fn member_reply(&mut self, now: Time, reply: Reply) {
        self.registration.backoff.reset();
        match reply {
            // A conflict settles a lost answer, too: the entry exists.
            Reply::Conflict | Reply::Done => {
                let lost = self.registration.lost;
                let new = reply == Reply::Done || lost;
                self.registration.entered = true;
                self.actions.push(Action::News(News::Registered(new)));
                self.list_members(None, Vec::new());
            }
            Reply::Page { next, objects, .. } => self.member_page(now, next, objects),
            Reply::Compacted | Reply::Events(..) | Reply::NotFound | Reply::Refused(_) => {
                self.member_failed(now);
            }
        }
    }

    fn member_page(&mut self, now: Time, next: Option<Name>, objects: Vec<Object>) {
        let Stage::Listing { found, .. } = &mut self.registration.stage else {
            return;
        };
        let mut found = std::mem::take(found);
        for object in objects {
            match object {
                Object::Member(rev, entry) => found.push((rev, entry)),
                Object::Unreadable { name, reason, .. } => self
                    .actions
                    .push(Action::News(News::Unreadable(name, reason))),
                Object::Topic(_) => {}
            }
        }
        if next.is_some() {
            self.list_members(next, found);
            return;
        }
        let own = self.registration.own.clone();
        let other = found
            .iter()
            .find(|(_, entry)| entry.name == own.name && *entry != own)
            .map(|(rev, _)| *rev);
        self.registration.stage = match other {
            Some(rev) => Stage::Replacing(self.call(Call::ReplaceMember(own, rev), CALL_TIME)),
            // The list is read again now and then, so that entries of daemons that are gone end.
            None => Stage::Pause(now + REFRESH.scale(0.5 + self.rng.f64())),
        };
        self.actions.push(Action::News(News::Members(found)));
    }
}

fn index(topic: Topic) -> usize {
    match topic {
        Topic::Config => 0,
        Topic::Evacuations => 1,
        Topic::Workers => 2,
    }
}
