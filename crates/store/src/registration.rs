use {
    crate::{CallId, backoff::Backoff},
    platform::MemberEntry,
    site::Rev,
    unit::Time,
};

/// What the client does about this daemon's own entry.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// The entry is being written.
    Creating(CallId),
    /// A page of the daemons' entries is awaited.
    Listing {
        call: CallId,
        found: Vec<(Rev, MemberEntry)>,
        /// Whether the answer may be some seconds old.
        old: bool,
    },
    /// The next call is due at a moment.
    Pause(Time),
    /// The entry under this daemon's name is another's and is being replaced.
    Replacing(CallId),
}

/// This daemon's entry in the store.
#[derive(Clone, Debug)]
pub(crate) struct Registration {
    pub(crate) backoff: Backoff,
    /// Whether the entry is known to exist.
    pub(crate) entered: bool,
    /// Whether the answer to a call that writes the entry was lost.
    pub(crate) lost: bool,
    pub(crate) own: MemberEntry,
    pub(crate) stage: Stage,
}

impl Registration {
    pub(crate) fn new(own: MemberEntry, now: Time) -> Self {
        Self {
            backoff: Backoff::default(),
            entered: false,
            lost: false,
            own,
            stage: Stage::Pause(now),
        }
    }

    pub(crate) fn call(&self) -> Option<CallId> {
        match &self.stage {
            Stage::Creating(call) | Stage::Listing { call, .. } | Stage::Replacing(call) => {
                Some(*call)
            }
            Stage::Pause(_) => None,
        }
    }
}
