use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    unit::Name,
};

/// What a VM of the platform's list does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "role")]
pub enum Role {
    /// Runs a daemon.
    Entry {
        /// Its address for operators.
        operators: SocketAddr,
        /// Its address for peers.
        peers: SocketAddr,
    },
    /// Runs a worker.
    Upstream {
        /// The service that the worker belongs to.
        service: Name,
    },
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It is about to be taken away.
    Leaving,
    /// It stays.
    Live,
}

/// One VM of the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Where callers (of an entry) or daemons (of an upstream) connect.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Name,
    /// Its name, unique in the list.
    pub name: Name,
    /// The data centre's region.
    pub region: Name,
    /// What it does.
    #[serde(flatten)]
    pub role: Role,
    /// Whether it stays.
    pub standing: Standing,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Grows with every change of the list.
    pub version: u64,
    /// The VMs, each name once.
    pub vms: Vec<Vm>,
}
