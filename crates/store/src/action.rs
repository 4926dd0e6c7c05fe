//! What the store client asks of its owner, and what it reports.

use {
    platform::{DecodeError, MemberEntry, StoreCall},
    site::{Change, Era, Rev, Topic},
    unit::{Name, Span},
};

/// Identifies a call to the store within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreCallId(pub u64);

/// Why a call got no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCallError {
    /// The connection could not be opened or was lost.
    Connection,
    /// No response arrived before the timeout.
    Timeout,
    /// The response could not be decoded.
    Unreadable,
}

/// An action that the owner of a [`StoreClient`](crate::StoreClient) carries out for it.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAction {
    /// Send a call with a timeout, and report its result under the id.
    Call(StoreCallId, StoreCall, Span),
    /// Cancel a call; its result is no longer needed.
    Cancel(StoreCallId),
    /// Handle an event.
    Notify(StoreEvent),
}

/// Why pending watches are sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalReason {
    /// A probe brought a change that the watch has not delivered.
    Outdated,
    /// A watch had no response in its time though the store answers probes, so that its connection
    /// must be silent, and others may be.
    Silent,
    /// The store left a call without a response, or refused a probe.
    Unanswered,
}

/// An event that the client reports to its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// A topic changed or was read in full.
    Change(Change),
    /// A call failed or was refused while the store wasn't regarded as failing yet. Holds the topic
    /// of the call, if any.
    Unavailable(Option<Topic>),
    /// The entries of all registered daemons, each with its revision.
    Members(Vec<(Rev, MemberEntry)>),
    /// The store responds again after a failure.
    Recovered,
    /// This daemon has an entry in the store and knows those of the others, which follow as
    /// [`Self::Members`]. `true` if the entry may be new, so that others don't know of it yet.
    Registered(bool),
    /// The store came back from an older copy and is in this era.
    Restored(Era),
    /// So many pending watches were cancelled, to be sent again.
    WatchesRenewed(usize, RenewalReason),
    /// An object can't be decoded and is skipped; if it is a worker's entry, the worker counts as
    /// removed.
    Unreadable(Name, DecodeError),
}
