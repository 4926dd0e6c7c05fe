use derive_more::Display;

/// The number of a caller's request, unique within this process. It is not the id that the caller
/// sends in a header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The number of one use of a connection to a worker: a health probe (or just the connecting) and,
/// if the worker is selected, the request that follows on the same connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);
