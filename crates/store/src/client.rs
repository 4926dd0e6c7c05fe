use {
    crate::{
        CallError, CallId, StoreAction, StoreEvent,
        registration::{Registration, Stage},
        topic::{Follow, Phase},
    },
    fastrand::Rng,
    platform::{Call, MemberEntry, Reply},
    site::{Departure, Rev, Revs, Topic},
    unit::{Span, Time},
};

/// How long a call that doesn't wait may take.
pub(crate) const CALL_TIME: Span = Span::millis(1_500);
/// How long after a failure of the store a missing worker may be one that will come back.
const TROUBLE: Span = Span::secs(4);
/// The pause between two questions whether the store answers, and how long the answer may take.
const PROBE_PAUSE: Span = Span::millis(700);
const PROBE_TIME: Span = Span::millis(600);
/// How long a watch may lack what another daemon already told.
const OUTRUN: Span = Span::millis(800);
/// How long a daemon that reads from others holds the store for failing.
const FAILING: Span = Span::secs(3);

/// Whether this daemon follows the topics in the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It learns them from other daemons.
    Follower,
    /// It watches them for itself and others.
    Watcher,
}

/// The question whether the store answers, which a watcher asks again and again: a watch that waits
/// doesn't show that the store has stopped answering this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// It is to be asked at a moment.
    Due(Time),
    /// The answer is awaited.
    Sent(CallId),
}

/// The client of the platform's store.
#[derive(Debug)]
pub struct StoreClient {
    pub(crate) actions: Vec<StoreAction>,
    /// When the store last failed or refused a call, where it hasn't answered since.
    pub(crate) failing: Option<Time>,
    pub(crate) follows: [Follow; 3],
    pub(crate) next_call: u64,
    probe: Probe,
    pub(crate) registration: Registration,
    pub(crate) rng: Rng,
    pub(crate) role: Role,
    /// When the store last failed a call.
    pub(crate) trouble: Option<Time>,
}

impl StoreClient {
    /// A client that first registers the daemon `own`.
    pub fn new(own: MemberEntry, now: Time, rng: Rng) -> Self {
        Self {
            actions: Vec::new(),
            failing: None,
            follows: Topic::ALL.map(Follow::new),
            next_call: 0,
            probe: Probe::Due(now),
            registration: Registration::new(own, now),
            rng,
            role: Role::Follower,
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
    pub fn set_role(&mut self, role: Role, now: Time) -> Vec<StoreAction> {
        if role != self.role {
            if !self.failing(now) {
                // A failure from before says nothing of the store now.
                self.failing = None;
            }
            self.role = role;
            self.probe = Probe::Due(now + PROBE_PAUSE);
            for at in 0..self.follows.len() {
                self.turn(at, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes in that another daemon knew a topic further. Where the own watch doesn't tell the same
    /// soon, it is broken off and begun anew.
    pub fn peer_ahead(&mut self, topic: Topic, now: Time) {
        let follow = &mut self.follows[index(topic)];
        if matches!(follow.phase, Phase::Watching(_)) {
            follow.outrun.get_or_insert(now);
        }
    }

    /// Does what is due; `revs` is what this daemon knows of the topics.
    pub fn tick(&mut self, now: Time, revs: &Revs) -> Vec<StoreAction> {
        for at in 0..self.follows.len() {
            self.check_outrun(at, now);
            if let Phase::Pause(until) = self.follows[at].phase
                && until <= now
            {
                self.start(at, revs);
            }
        }
        if let Probe::Due(at) = self.probe
            && at <= now
            && self.role == Role::Watcher
        {
            self.probe = Probe::Sent(self.call(Call::Probe, PROBE_TIME));
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
        let probe = match self.probe {
            Probe::Due(at) if self.role == Role::Watcher => Some(at),
            _ => None,
        };
        topics.chain(own).chain(probe).min()
    }

    /// Takes in the answer to a call, or why there is none.
    pub fn complete_call(
        &mut self,
        now: Time,
        id: CallId,
        answer: Result<Reply, CallError>,
    ) -> Vec<StoreAction> {
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
        if self.probe == Probe::Sent(id) {
            self.probe = Probe::Due(now + PROBE_PAUSE);
            if reply.is_none() {
                self.break_off(now);
            }
            return std::mem::take(&mut self.actions);
        }
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

    /// The store doesn't answer, so the watches that wait may wait in vain.
    fn break_off(&mut self, now: Time) {
        for at in 0..self.follows.len() {
            if let Phase::Watching(call) = self.follows[at].phase {
                self.actions.push(StoreAction::Cancel(call));
                self.topic_failed(now, at);
            }
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
        self.actions.push(StoreAction::Cancel(call));
        self.failed(now, Some(topic));
        self.topic_failed(now, at);
    }

    fn turn(&mut self, at: usize, now: Time) {
        let follow = &mut self.follows[at];
        follow.current = false;
        follow.seen = Rev::default();
        match self.role {
            Role::Watcher => follow.phase = Phase::Pause(now),
            Role::Follower => {
                if let Some(call) = follow.call() {
                    self.actions.push(StoreAction::Cancel(call));
                }
                follow.phase = Phase::Off;
            }
        }
    }

    pub(crate) fn call(&mut self, call: Call, time: Span) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.actions.push(StoreAction::Call(id, call, time));
        id
    }

    fn well(&mut self) {
        if self.failing.take().is_some() {
            self.actions
                .push(StoreAction::Notify(StoreEvent::Recovered));
        }
    }

    fn failed(&mut self, now: Time, topic: Option<Topic>) {
        self.trouble = Some(now);
        if self.failing.replace(now).is_none() {
            self.actions
                .push(StoreAction::Notify(StoreEvent::Unavailable(topic)));
        }
    }
}

fn index(topic: Topic) -> usize {
    match topic {
        Topic::Config => 0,
        Topic::Evacuations => 1,
        Topic::Workers => 2,
    }
}
