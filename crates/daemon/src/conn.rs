use {
    crate::{
        admin::Admin,
        callers::Caller,
        channel::Channel,
        fleet::{Fetching, Serving},
        platform_io::StoreConn,
        workers::WorkerConn,
    },
    unit::Time,
};

/// What a connection is for.
#[derive(Debug)]
pub(crate) enum ConnKind {
    /// A question to the directory, the readiness address or the operators' address.
    Admin(Admin),
    /// A caller's requests.
    Caller(Caller),
    /// Fetches what another daemon knows further.
    Fetching(Fetching),
    /// It is closed by this end and waits for the other.
    Lingering,
    /// Another daemon fetches what this one knows further.
    Serving(Serving),
    /// A call to the platform's store.
    Store(StoreConn),
    /// A worker's.
    Worker(WorkerConn),
}

/// A stream connection.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) channel: Channel,
    /// When something is due on it; a timer that comes earlier is void.
    pub(crate) timer: Option<Time>,
    pub(crate) kind: ConnKind,
    /// Its number, never used again.
    pub(crate) serial: u64,
}
