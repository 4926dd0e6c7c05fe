//! What workers ask of their callers.

use unit::Rate;

/// What a worker asks of its callers in a response, beside reporting its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The requests per second that it takes from all daemons together, for as long as its
    /// responses say so; `None` if it names no limit.
    pub rate_limit: Option<Rate>,
    /// Whether the response holds a value that can't be read, which is ignored.
    pub unreadable: bool,
}
