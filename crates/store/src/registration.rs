//! The state of this daemon's registration.

use {
    crate::{StoreCallId, backoff::Backoff},
    platform::MemberEntry,
    site::Rev,
    unit::Time,
};

/// The step that this daemon's registration has reached.
#[derive(Clone, Debug)]
pub(crate) enum RegistrationPhase {
    /// The entry is being created.
    Creating(StoreCallId),
    /// A page of the list of all daemons' entries is pending.
    Listing {
        call: StoreCallId,
        /// The entries on the pages read so far.
        entries: Vec<(Rev, MemberEntry)>,
        /// Whether the response may be some seconds old.
        stale_ok: bool,
    },
    /// The next call is due at this time.
    Due(Time),
    /// The entry under this daemon's name has other content and is being replaced.
    Replacing(StoreCallId),
}

/// Registration of this daemon in the store.
#[derive(Clone, Debug)]
pub(crate) struct Registration {
    pub(crate) backoff: Backoff,
    /// Whether the entry is known to exist, and all others that exist have been listed.
    pub(crate) registered: bool,
    /// Whether this run created the entry or may have: a call to create it that failed may still
    /// have taken effect.
    pub(crate) maybe_new: bool,
    /// Whether the store came back from an older copy that may lack the entry.
    pub(crate) lost: bool,
    pub(crate) own_entry: MemberEntry,
    pub(crate) phase: RegistrationPhase,
}

impl Registration {
    pub(crate) fn new(own_entry: MemberEntry, now: Time) -> Self {
        Self {
            backoff: Backoff::default(),
            registered: false,
            maybe_new: false,
            lost: false,
            own_entry,
            phase: RegistrationPhase::Due(now),
        }
    }

    /// The pending call, if any.
    pub(crate) fn pending_call(&self) -> Option<StoreCallId> {
        match &self.phase {
            RegistrationPhase::Creating(call)
            | RegistrationPhase::Listing { call, .. }
            | RegistrationPhase::Replacing(call) => Some(*call),
            RegistrationPhase::Due(_) => None,
        }
    }
}
