use {
    crate::{Bounds, Listen},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddrV4},
    },
    unit::Name,
};

/// A daemon's settings, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The users' limits for the fleet.
    pub bounds: Bounds,
    /// The daemon's data centre.
    pub centre: Name,
    /// The most file descriptors, sockets included, that the daemon may have open.
    pub max_fds: u32,
    /// The daemon's IP address.
    pub ip: Ipv4Addr,
    /// The addresses on which it listens.
    pub listen: Listen,
    /// The daemon's name, unique in the fleet.
    pub name: Name,
    /// The first and the last port for traffic between daemons.
    pub peer_ports: (u16, u16),
    /// The daemon's region.
    pub region: Name,
    /// The region of each data centre.
    pub regions: BTreeMap<Name, Name>,
    /// Machines at which the daemon looks for peers while it knows of none that is alive; some may
    /// no longer exist.
    pub seeds: Vec<Ipv4Addr>,
    /// The address of the platform's store.
    pub store: SocketAddrV4,
}

impl Settings {
    /// The region of a data centre, if it is known.
    pub fn region_of(&self, centre: &Name) -> Option<&Name> {
        let own = (*centre == self.centre).then_some(&self.region);
        own.or_else(|| self.regions.get(centre))
    }
}
