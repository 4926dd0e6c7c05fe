use {
    crate::{CallId, backoff::Backoff},
    platform::Object,
    site::{ObjectState, Rev, Topic, Versioned},
    unit::Time,
};

/// What the client does about a topic.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// The page of a list is awaited; `rev` is that of the first page.
    Listing {
        call: CallId,
        items: Vec<Versioned<ObjectState>>,
        rev: Option<Rev>,
    },
    /// Another daemon watches.
    Off,
    /// The next call is due at a moment.
    Pause(Time),
    /// A change is awaited.
    Watching(CallId),
}

/// A topic as the client follows it.
#[derive(Clone, Debug)]
pub(crate) struct Follow {
    pub(crate) backoff: Backoff,
    /// Whether what is known was current at the last answer.
    pub(crate) current: bool,
    /// When another daemon first knew something that the watch hasn't told yet.
    pub(crate) outrun: Option<Time>,
    pub(crate) phase: Phase,
    /// The revision up to which this daemon's own watch has told everything. It runs ahead of what
    /// other daemons are told, which is the revision of the last change.
    pub(crate) seen: Rev,
    pub(crate) topic: Topic,
}

impl Follow {
    pub(crate) fn new(topic: Topic) -> Self {
        Self {
            backoff: Backoff::default(),
            current: false,
            outrun: None,
            phase: Phase::Off,
            seen: Rev::default(),
            topic,
        }
    }

    /// The call under way.
    pub(crate) fn call(&self) -> Option<CallId> {
        match &self.phase {
            Phase::Listing { call, .. } | Phase::Watching(call) => Some(*call),
            Phase::Off | Phase::Pause(_) => None,
        }
    }
}

/// The objects of a topic among those of an answer; `report` gets those that can't be understood.
pub(crate) fn readable(
    objects: Vec<Object>,
    mut report: impl FnMut(Object),
) -> Vec<Versioned<ObjectState>> {
    let mut items = Vec::new();
    for object in objects {
        match object {
            Object::Topic(item) => items.push(item),
            other => report(other),
        }
    }
    items
}
