use std::net::SocketAddrV4;

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddrV4,
    /// For callers that ask where to connect.
    pub directory: SocketAddrV4,
    /// For operators: metrics and the state dump.
    pub operators: Option<SocketAddrV4>,
    /// For the question whether the daemon is ready.
    pub ready: SocketAddrV4,
}
