use {
    platform::{Call, DecodeError, MemberEntry},
    site::{Change, Rev, Topic},
    unit::{Name, Span},
};

/// One call to the store, as this process numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be made or broke.
    Connection,
    /// There was no answer in time.
    Timeout,
    /// The answer could not be understood.
    Unreadable,
}

/// What is to be done for the client.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAction {
    /// Make a call, and give up on its answer after a span.
    Call(CallId, Call, Span),
    /// Break off a call; its answer no longer matters.
    Cancel(CallId),
    /// Take in news.
    Notify(StoreEvent),
}

/// What the client learned.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// A topic changed.
    Change(Change),
    /// The store failed a call or refused it.
    Unavailable(Option<Topic>),
    /// All registered daemons, with the revisions of their entries.
    Members(Vec<(Rev, MemberEntry)>),
    /// The store answers again after it failed.
    Recovered,
    /// This daemon has an entry; whether it is new, so that the others don't know of it yet.
    Registered(bool),
    /// An object can't be understood and is passed over.
    Unreadable(Name, DecodeError),
}
