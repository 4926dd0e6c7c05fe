//! What workers ask of their callers.

use unit::{Rate, Span};

/// What a worker asks of its callers in a response, beside reporting its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is leaving: soon after, it must get no more requests.
    pub leaving: bool,
    /// How long it wants nothing from the daemon that it turned away; `None` if it turned none away
    /// or doesn't say.
    pub retry_after: Option<Span>,
    /// The requests per second that it takes from all daemons together, for as long as its
    /// responses say so; `None` if it names no limit.
    pub rate_limit: Option<Rate>,
    /// Whether the response holds a value that can't be read, which is ignored.
    pub unreadable: bool,
}
