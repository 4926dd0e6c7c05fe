use {
    crate::{Stage, Watch},
    serde::{Deserialize, Serialize},
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Name, Span},
};

/// What the sender last heard of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The daemon's count of heartbeats.
    pub count: u32,
    /// The hash of its name.
    pub key: u32,
    /// Its life.
    pub life: u32,
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
pub struct Beat {
    /// How old the sender's knowledge of the site is: the time since it was known to be current.
    pub age: Span,
    /// The sender's data centre.
    pub centre: Name,
    /// Daemons that the sender knows; told only to one that seeks them.
    pub contacts: Vec<Contact>,
    /// How many heartbeats the sender made in this life.
    pub count: u32,
    /// The sender's address.
    pub ip: Ipv4Addr,
    /// A number that the sender drew at its start.
    pub life: u32,
    /// The sender's name.
    pub name: Name,
    /// Up to where the sender knows the site.
    pub revs: Revs,
    /// What the sender last heard of the others.
    pub rows: Vec<Row>,
    /// Whether the sender has heard of daemons that it doesn't know.
    pub seeks: bool,
    /// Where the sender stands.
    pub stage: Stage,
    /// How the sender stands with the store.
    pub watch: Watch,
}
