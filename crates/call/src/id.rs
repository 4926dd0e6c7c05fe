use derive_more::Display;

/// One request of a caller's, as this process numbers them.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One use of a connection to a worker: the question whether it has room and, where it has, the
/// request that follows on the same connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);
