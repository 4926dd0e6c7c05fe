use {
    crate::{Bounds, Listen},
    std::net::{Ipv4Addr, SocketAddrV4},
    unit::Name,
};

/// What a daemon knows of itself at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What the users allow the fleet.
    pub bounds: Bounds,
    /// Its data centre.
    pub centre: Name,
    /// The most open files and sockets.
    pub max_fds: u32,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Where it listens.
    pub listen: Listen,
    /// Its name, unique in the fleet.
    pub name: Name,
    /// The first and the last port for traffic between daemons.
    pub peer_ports: (u16, u16),
    /// Its region.
    pub region: Name,
    /// Machines that a new daemon may ask first; some may be gone.
    pub seeds: Vec<Ipv4Addr>,
    /// The platform's store.
    pub store: SocketAddrV4,
}
