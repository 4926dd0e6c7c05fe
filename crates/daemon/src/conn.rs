//! A TCP connection and what it is used for.

use {
    crate::{
        admin::AdminConn,
        callers::CallerConn,
        channel::Channel,
        fetches::{FetchClientConn, FetchServerConn},
        forwards::ForwardConn,
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
    /// A lingering close: the sending side is shut down once all bytes are sent, and received bytes
    /// are dropped until the other end closes.
    Lingering,
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
