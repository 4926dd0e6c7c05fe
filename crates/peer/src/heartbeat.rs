use {
    crate::{CoarseAge, Stage, Watch},
    serde::{Deserialize, Serialize},
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Name, Span},
};

/// What the sender last heard of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// How long ago it was heard.
    pub age: CoarseAge,
    /// The hash of its name.
    pub name_hash: u32,
    /// Where it stands.
    pub stage: Stage,
}

/// Another daemon that the receiver may not know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its data centre.
    pub centre: Name,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its name.
    pub name: Name,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How old the sender's knowledge of the site is: the time since it was known to be current.
    pub staleness: Span,
    /// The sender's data centre.
    pub centre: Name,
    /// Daemons that the sender knows; told only to one that is new or that asks for them.
    pub contacts: Vec<Contact>,
    /// How many heartbeats the sender made in this life.
    pub sequence: u32,
    /// The sender's address.
    pub ip: Ipv4Addr,
    /// A number that the sender drew at its start.
    pub incarnation: u32,
    /// The sender's name.
    pub name: Name,
    /// Up to where the sender knows the site.
    pub revs: Revs,
    /// What the sender last heard of some others.
    pub gossip: Vec<GossipEntry>,
    /// The hashes of the names of daemons of which the receiver told and that the sender doesn't know.
    pub wanted: Vec<u32>,
    /// Where the sender stands.
    pub stage: Stage,
    /// How the sender stands with the store.
    pub watch: Watch,
}
