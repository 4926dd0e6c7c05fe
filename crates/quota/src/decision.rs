//! What a quota tells its owner.

use {crate::Message, std::net::Ipv4Addr, unit::Span};

/// The number by which the owner of a [`crate::Quota`] knows a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is within the quota.
    Admitted,
    /// It isn't, or that can't be found out; the caller may come back after the time.
    Refused(Span),
    /// A [`QuotaAction`] will say.
    Waiting,
}

/// What the owner of a [`crate::Quota`] is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaAction {
    /// Admit a waiting request.
    Admit(RequestId),
    /// Refuse a waiting request; its caller may come back after the time.
    Refuse(RequestId, Span),
    /// Send a message to a daemon.
    Send(Ipv4Addr, Message),
}

/// A change of the own role, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaEvent {
    /// This daemon has become grantor of a shard.
    TenureBegan(usize),
    /// It no longer is.
    TenureEnded(usize),
}

/// What this daemon knows of the use of an account's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The requests that this daemon admitted since its start.
    pub admitted: u64,
    /// The requests per second that it got lately.
    pub demand: f64,
    /// The daemon that grants the account's tokens, if one is known.
    pub grantor: Option<Ipv4Addr>,
    /// The requests that this daemon refused since its start.
    pub refused: u64,
    /// The tokens that this daemon may use now.
    pub tokens: usize,
    /// The requests that wait here for tokens.
    pub waiting: usize,
}
