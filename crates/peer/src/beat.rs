use {
    bincode::{Decode, Encode},
    serde::Serialize,
};

/// Where a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It has no newest site yet and serves nothing.
    Joining,
    /// It serves what it has, and gets nothing new.
    Leaving,
    /// It serves.
    Serving,
}

/// A heartbeat from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Encode, Decode)]
pub struct Beat {
    /// The sender's view, if it has been the same for long enough to be relied on.
    pub digest: Option<u64>,
    /// The number of the last heartbeat that the sender got from the receiver; 0 for none.
    pub echo: u64,
    /// The generation in force at the sender.
    pub generation: u64,
    /// The sender's life.
    pub life: u64,
    /// The version of the sender's list of VMs.
    pub list: u64,
    /// This heartbeat's number, greater than 0 and growing within a life.
    pub seq: u64,
    /// Where the sender is in its life.
    pub standing: Standing,
}
