//! A TCP connection and what it is used for.

use {
    crate::{
        admin::AdminConn,
        callers::CallerConn,
        channel::Channel,
        fetches::{FetchClientConn, FetchServerConn},
        forwards::ForwardConn,
        lingering::Lingering,
        store_conn::StoreConn,
        workers::WorkerConn,
    },
    unit::Time,
};

/// What a connection is used for, with the state that belongs to that use.
#[derive(Debug)]
pub(crate) enum ConnKind {
    /// Requests to the directory, the readiness address or the operators' address.
    Admin(AdminConn),
    /// Requests of a caller.
    Caller(CallerConn),
    /// This daemon fetches site changes from another.
    FetchClient(FetchClientConn),
    /// This daemon forwards a request to another one.
    Forward(ForwardConn),
    /// A lingering close.
    Lingering(Lingering),
    /// Another daemon fetches site changes from this one.
    FetchServer(FetchServerConn),
    /// Calls to the platform's store.
    Store(StoreConn),
    /// Requests and health probes to a worker.
    Worker(WorkerConn),
}

/// A TCP connection.
#[derive(Debug)]
pub(crate) struct Conn {
    /// The socket with its send buffer.
    pub(crate) channel: Channel,
    /// When the connection's timer fires. An entry of [`Timers`](crate::timers::Timers) that fires
    /// earlier comes from an earlier setting and is ignored.
    pub(crate) timer: Option<Time>,
    pub(crate) kind: ConnKind,
    /// A number that no later connection of this process gets, unlike the key in `Daemon::conns`.
    pub(crate) serial: u64,
}

impl Conn {
    /// Whether it is a caller's, or another daemon's that forwards a request; true also while it is
    /// closing.
    pub(crate) fn is_of_caller(&self) -> bool {
        match &self.kind {
            ConnKind::Caller(_) => true,
            ConnKind::Lingering(lingering) => lingering.of_caller,
            _ => false,
        }
    }
}
