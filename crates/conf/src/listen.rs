use std::net::SocketAddrV4;

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// The address for callers' requests.
    pub callers: SocketAddrV4,
    /// The directory's address, where callers ask for daemons to connect to.
    pub directory: SocketAddrV4,
    /// The address for operators, with metrics and the state dump; absent if daemons don't serve
    /// it.
    pub operators: Option<SocketAddrV4>,
    /// The address of the readiness check.
    pub ready: SocketAddrV4,
}
