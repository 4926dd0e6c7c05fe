use {
    crate::{Format, Stage, Watch, handshake::Handshake},
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Name, Span, Time},
};

/// Another daemon of the fleet, as this daemon knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The digest of the members that it knows, by the last heartbeat of its current incarnation that
    /// had one.
    pub(crate) digest: Option<u32>,
    /// The staleness in the last heartbeat that was received from it, and when that was; `None`
    /// before the first.
    pub staleness: Option<(Span, Time)>,
    /// Its data centre.
    pub centre: Name,
    /// The highest sequence number received from its current incarnation.
    pub sequence: u32,
    /// When this daemon first learned of it.
    pub added: Time,
    /// When it was last heard, by this daemon or by another one that reported it in gossip; `None`
    /// before that.
    pub last_heard: Option<Time>,
    /// Which messages its current incarnation reads, as far as it has shown.
    pub format: Format,
    /// The extended heartbeats that were offered to its current incarnation.
    pub(crate) handshake: Handshake,
    /// Its address.
    pub ip: Ipv4Addr,
    /// The incarnation in the last heartbeat that was received from it.
    pub incarnation: u32,
    /// The revisions up to which it knows the site, by the last heartbeat that was received from
    /// it.
    pub revs: Revs,
    /// Its lifecycle stage, as last heard directly or through gossip.
    pub stage: Stage,
    /// The state of its watch on the store, by the last heartbeat that was received from it.
    pub watch: Watch,
}

impl Member {
    /// Whether it may read extended messages: it has shown that it does, or nothing shows that it
    /// doesn't. Most daemons of other data centres are known only through gossip, which doesn't tell.
    pub fn may_read_extended(&self) -> bool {
        self.format == Format::Extended || !self.handshake.is_refused()
    }
}
