//! The state of one topic's synchronization.

use {
    crate::{StoreCallId, backoff::Backoff},
    platform::Object,
    site::{ObjectState, Rev, Topic, Versioned},
    unit::Time,
};

/// The step that the synchronization of a topic has reached.
#[derive(Clone, Debug)]
pub(crate) enum SyncPhase {
    /// A page of the topic's list is pending.
    Listing {
        call: StoreCallId,
        /// The items on the pages read so far.
        items: Vec<Versioned<ObjectState>>,
        /// The revision of the first page, once it is read.
        rev: Option<Rev>,
    },
    /// This daemon is a follower and doesn't watch the topic.
    Inactive,
    /// The next call is due at this time.
    Due(Time),
    /// A watch is pending.
    Watching {
        call: StoreCallId,
        /// When a peer was first found to know a change that the watch hasn't delivered.
        behind_since: Option<Time>,
        /// Whether the store answered a probe that was sent no earlier than the watch. One that was
        /// sent while the store was silent is never answered.
        confirmed: bool,
    },
}

/// Synchronization of one topic with the store.
#[derive(Clone, Debug)]
pub(crate) struct TopicSync {
    pub(crate) backoff: Backoff,
    /// Whether the topic was current as of the last call's result, or a pending watch makes it so.
    pub(crate) current: bool,
    /// Whether the next watch is to return at once.
    pub(crate) immediate: bool,
    pub(crate) phase: SyncPhase,
    /// The revision up to which this daemon's own watch has delivered every change. It may be newer
    /// than the revision that peers are told, which is that of the last change.
    pub(crate) watched_rev: Rev,
    pub(crate) topic: Topic,
}

impl TopicSync {
    pub(crate) fn new(topic: Topic) -> Self {
        Self {
            backoff: Backoff::default(),
            current: false,
            immediate: false,
            phase: SyncPhase::Inactive,
            watched_rev: Rev::default(),
            topic,
        }
    }

    /// Notes that the store answered a probe, which shows that it received a watch sent before that.
    pub(crate) fn confirm_watch(&mut self, probe: StoreCallId) {
        if let SyncPhase::Watching {
            call, confirmed, ..
        } = &mut self.phase
            && *call < probe
        {
            *confirmed = true;
            self.current = true;
        }
    }

    /// Whether a watch is pending that the store is known to have received.
    pub(crate) fn is_confirmed(&self) -> bool {
        matches!(
            self.phase,
            SyncPhase::Watching {
                confirmed: true,
                ..
            }
        )
    }

    /// Lets the next call be a watch that returns at once; the caller cancels a pending one.
    pub(crate) fn renew(&mut self, now: Time) {
        self.immediate = true;
        self.phase = SyncPhase::Due(now);
    }

    /// The pending call, if any.
    pub(crate) fn pending_call(&self) -> Option<StoreCallId> {
        match &self.phase {
            SyncPhase::Listing { call, .. } | SyncPhase::Watching { call, .. } => Some(*call),
            SyncPhase::Inactive | SyncPhase::Due(_) => None,
        }
    }
}

/// The topic items among the objects of a response. All other objects, such as unreadable ones, are
/// passed to `on_other`.
pub(crate) fn topic_items(
    objects: Vec<Object>,
    mut on_other: impl FnMut(Object),
) -> Vec<Versioned<ObjectState>> {
    let mut items = Vec::new();
    for object in objects {
        match object {
            Object::Topic(item) => items.push(item),
            other => on_other(other),
        }
    }
    items
}
