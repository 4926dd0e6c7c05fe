use {
    crate::{
        RenewalReason, StoreAction, StoreCallError, StoreCallId, StoreEvent,
        probe::Probe,
        registration::{Registration, RegistrationPhase},
        topic_sync::{SyncPhase, TopicSync},
    },
    fastrand::Rng,
    platform::{MemberEntry, StoreCall, StoreReply},
    site::{Departure, Era, Rev, Revs, Rollout, RolloutState, Topic, Versioned},
    unit::{Span, Time},
};

/// The timeout of a call that doesn't wait for changes.
pub(crate) const CALL_TIMEOUT: Span = Span::millis(1_500);
/// How long after a failed call a worker whose entry is missing counts as lapsed: it may come back.
const LAPSE_WINDOW: Span = Span::secs(4);
/// How long a watch may lack a change that a peer already knows.
const MAX_WATCH_LAG: Span = Span::millis(800);
/// How long after a failed call a follower regards the store as failing.
const FAILURE_EXPIRY: Span = Span::secs(3);

/// Where this daemon gets the topics from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It receives them from other daemons.
    Follower,
    /// It watches them in the store, for itself and for other daemons.
    Watcher,
}

/// The client of the platform's store.
#[derive(Debug)]
pub struct StoreClient {
    /// The actions queued for the owner; returned by the next call that returns actions.
    pub(crate) actions: Vec<StoreAction>,
    /// When the store last failed or refused a call; `None` once a later call has succeeded, or the
    /// role has changed when the failure was no longer recent.
    pub(crate) failing_at: Option<Time>,
    /// One for each topic that is watched.
    pub(crate) topics: Vec<TopicSync>,
    /// The store's latest known era; `None` before its first response.
    pub(crate) era: Option<Era>,
    pub(crate) next_call: u64,
    pub(crate) probe: Probe,
    /// The index of the topic that the next probe checks.
    pub(crate) probe_turn: usize,
    pub(crate) registration: Registration,
    pub(crate) rng: Rng,
    /// Whether other daemons follow the store more closely.
    pub(crate) relaxed: bool,
    pub(crate) role: Role,
    /// When the store last failed or refused a call, whether or not it has recovered.
    pub(crate) last_failure: Option<Time>,
}

impl StoreClient {
    /// Creates a client that starts by registering this daemon as `own_entry`.
    pub fn new(own_entry: MemberEntry, now: Time, rng: Rng) -> Self {
        Self {
            actions: Vec::new(),
            failing_at: None,
            topics: Topic::ALL.map(TopicSync::new).into(),
            era: None,
            next_call: 0,
            probe: Probe::Due(now),
            probe_turn: 0,
            registration: Registration::new(own_entry, now),
            rng,
            relaxed: false,
            role: Role::Follower,
            last_failure: None,
        }
    }

    /// Watches the rollouts too, from the next change of the role on.
    pub fn follow_rollouts(&mut self) {
        self.topics.push(TopicSync::new(Topic::Rollouts));
    }

    /// The revision up to which this daemon's own watch has delivered every change of a topic.
    pub fn watched_rev(&self, topic: Topic) -> Rev {
        let sync = self.topics.iter().find(|sync| sync.topic == topic);
        sync.map_or(Rev::default(), |sync| sync.watched_rev)
    }

    /// Asks the store at once for the present revision of a topic. A watch that finds no change
    /// tells it only after its wait.
    pub fn refresh(&mut self, topic: Topic, now: Time) -> Vec<StoreAction> {
        if let Some(sync) = self.topics.iter_mut().find(|sync| sync.topic == topic)
            && let SyncPhase::Watching { call, .. } = sync.phase
            && !sync.immediate
        {
            self.actions.push(StoreAction::Cancel(call));
            sync.renew(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Writes the state of a rollout whose object has the revision `rev`. Whether that succeeded
    /// shows in the topic.
    pub fn write_rollout(
        &mut self,
        rollout: &Versioned<Rollout>,
        state: RolloutState,
    ) -> Vec<StoreAction> {
        let call = StoreCall::PutRolloutState {
            name: rollout.value.name.clone(),
            rev: rollout.rev,
            state,
            target: rollout.value.target.clone(),
        };
        self.send_call(call, CALL_TIMEOUT);
        std::mem::take(&mut self.actions)
    }

    /// Whether a call failed or was refused and none has succeeded since. For a follower, only a
    /// recent failure counts, as it makes few calls that could show a recovery.
    pub fn failing(&self, now: Time) -> bool {
        self.failing_at
            .is_some_and(|at| self.role == Role::Watcher || now.since(at) < FAILURE_EXPIRY)
    }

    /// Whether this daemon watches all topics, so that what it knows of them is current. True also
    /// in the pauses between watches; false while the store is failing, and after that until the
    /// store is known to have received the watches.
    pub fn watching(&self) -> bool {
        let current = |sync: &TopicSync| match sync.phase {
            SyncPhase::Watching { .. } | SyncPhase::Due(_) => sync.current,
            SyncPhase::Listing { .. } | SyncPhase::Inactive => false,
        };
        self.role == Role::Watcher && self.failing_at.is_none() && self.topics.iter().all(current)
    }

    /// The current role.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Sets whether other daemons follow the store more closely, so that this one, if it watches,
    /// may leave longer pauses between its watches.
    pub fn set_relaxed(&mut self, relaxed: bool) {
        self.relaxed = relaxed;
    }

    /// Changes the role: a new watcher starts to sync all topics, a new follower cancels its calls
    /// for them.
    pub fn set_role(&mut self, role: Role, now: Time) -> Vec<StoreAction> {
        if role != self.role {
            if !self.failing(now) {
                // A failure that is no longer recent says nothing about the store's present state.
                self.failing_at = None;
            }
            self.role = role;
            self.probe = Probe::Due(now);
            for index in 0..self.topics.len() {
                self.apply_role(index, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Notes the era of one of the store's responses or of what a peer knows. In a new era, all
    /// topics are read again, this daemon's entry is written again, and workers whose entries are
    /// missing count as lapsed.
    pub fn observe_era(&mut self, now: Time, era: Era) -> Vec<StoreAction> {
        let known = self.era;
        self.era = Some(known.unwrap_or_default().max(era));
        if known.is_none_or(|known| known >= era) {
            return Vec::new();
        }
        self.last_failure = Some(now);
        for index in 0..self.topics.len() {
            if let Some(call) = self.topics[index].pending_call() {
                self.actions.push(StoreAction::Cancel(call));
            }
            self.apply_role(index, now);
        }
        self.register_again(now);
        self.actions
            .push(StoreAction::Notify(StoreEvent::Restored(era)));
        std::mem::take(&mut self.actions)
    }

    /// Notes that a peer knows a newer revision of a topic than this daemon did. If the pending
    /// watch doesn't complete soon, it is cancelled and started again.
    pub fn peer_ahead(&mut self, topic: Topic, now: Time) {
        let sync = self.topics.iter_mut().find(|sync| sync.topic == topic);
        if let Some(sync) = sync
            && let SyncPhase::Watching { behind_since, .. } = &mut sync.phase
        {
            behind_since.get_or_insert(now);
        }
    }

    /// Starts the calls that are due, those for topics unless the store is failing, and restarts watches that lag behind peers. `revs` holds the
    /// revision up to which this daemon knows each topic.
    pub fn tick(&mut self, now: Time, revs: &Revs) -> Vec<StoreAction> {
        for index in 0..self.topics.len() {
            self.check_watch_lag(index, now);
            if let SyncPhase::Due(due) = self.topics[index].phase
                && due <= now
                && self.failing_at.is_none()
            {
                self.sync_topic(index, revs);
            }
        }
        if let Probe::Due(due) = self.probe
            && (due <= now || self.has_unconfirmed_watch())
            && self.role == Role::Watcher
        {
            self.send_probe(revs);
        }
        if let RegistrationPhase::Due(due) = self.registration.phase
            && due <= now
        {
            if self.registration.lost {
                self.create_member();
            } else {
                self.find_own_entry();
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// When [`Self::tick`] has to run next; `None` if no call is scheduled.
    pub fn next_tick(&self) -> Option<Time> {
        let topics = self.topics.iter().filter_map(|sync| match sync.phase {
            SyncPhase::Due(due) => self.failing_at.is_none().then_some(due),
            SyncPhase::Watching { behind_since, .. } => {
                behind_since.map(|since| since + MAX_WATCH_LAG)
            }
            SyncPhase::Inactive | SyncPhase::Listing { .. } => None,
        });
        let registration = match self.registration.phase {
            RegistrationPhase::Due(due) => Some(due),
            _ => None,
        };
        let probe = match self.probe {
            Probe::Due(due) if self.role == Role::Watcher => Some(due),
            _ => None,
        };
        topics.chain(registration).chain(probe).min()
    }

    /// Handles the result of a call. Results of calls that are no longer pending are counted as a
    /// success or failure of the store and otherwise ignored.
    pub fn complete_call(
        &mut self,
        now: Time,
        id: StoreCallId,
        result: Result<StoreReply, StoreCallError>,
    ) -> Vec<StoreAction> {
        let succeeded = !matches!(result, Err(_) | Ok(StoreReply::Refused(_)));
        let mut topics = self.topics.iter();
        let index = topics.position(|sync| sync.pending_call() == Some(id));
        let topic = index.map(|index| self.topics[index].topic);
        if result == Err(StoreCallError::Timeout)
            && self.failing_at.is_none()
            && index.is_some_and(|index| self.topics[index].is_confirmed())
        {
            // The store answers probes, so the connection of the watch is at fault.
            self.renew_watches(now, RenewalReason::Silent);
            return std::mem::take(&mut self.actions);
        }
        if succeeded {
            self.record_success();
        } else {
            self.record_failure(now, topic);
        }
        let reply = result.ok().filter(|_| succeeded);
        if let Probe::Sent(probe, index) = self.probe
            && probe == id
        {
            self.handle_probe_reply(now, probe, index, reply);
            return std::mem::take(&mut self.actions);
        }
        match (index, reply) {
            (Some(index), Some(reply)) => self.handle_topic_reply(now, index, reply),
            (Some(index), None) => self.retry_topic(now, index),
            (None, reply) if self.registration.pending_call() == Some(id) => match reply {
                Some(reply) => self.handle_member_reply(now, reply),
                None => self.retry_registration(now),
            },
            (None, _) => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// Why a worker whose entry is found missing at `now` has departed.
    pub fn departure(&self, now: Time) -> Departure {
        match self.last_failure {
            Some(at) if now.since(at) < LAPSE_WINDOW => Departure::Lapsed,
            _ => Departure::Left,
        }
    }

    /// Cancels a watch that has lacked a change known to a peer for too long, and counts that as a
    /// failure of the store.
    fn check_watch_lag(&mut self, index: usize, now: Time) {
        let sync = &self.topics[index];
        let SyncPhase::Watching {
            call,
            behind_since: Some(since),
            ..
        } = sync.phase
        else {
            return;
        };
        if now.since(since) < MAX_WATCH_LAG {
            return;
        }
        let topic = sync.topic;
        self.actions.push(StoreAction::Cancel(call));
        self.record_failure(now, Some(topic));
        self.retry_topic(now, index);
    }

    /// Starts or stops the synchronization of a topic after a change of the role.
    fn apply_role(&mut self, index: usize, now: Time) {
        let sync = &mut self.topics[index];
        sync.current = false;
        sync.watched_rev = Rev::default();
        match self.role {
            Role::Watcher => sync.phase = SyncPhase::Due(now),
            Role::Follower => {
                if let Some(call) = sync.pending_call() {
                    self.actions.push(StoreAction::Cancel(call));
                }
                sync.phase = SyncPhase::Inactive;
            }
        }
    }

    /// Queues a call to the store and returns its id.
    pub(crate) fn send_call(&mut self, call: StoreCall, timeout: Span) -> StoreCallId {
        let id = StoreCallId(self.next_call);
        self.next_call += 1;
        self.actions.push(StoreAction::Call(id, call, timeout));
        id
    }

    /// Notes that a call succeeded, and reports it if the store was failing.
    fn record_success(&mut self) {
        if self.failing_at.take().is_some() {
            self.actions
                .push(StoreAction::Notify(StoreEvent::Recovered));
        }
    }

    /// Notes that a call failed or was refused, and reports it if the store wasn't failing already.
    fn record_failure(&mut self, now: Time, topic: Option<Topic>) {
        self.last_failure = Some(now);
        if self.failing_at.replace(now).is_none() {
            self.actions
                .push(StoreAction::Notify(StoreEvent::Unavailable(topic)));
        }
    }
}
