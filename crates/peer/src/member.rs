use {
    crate::{Stage, Watch},
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Name, Span, Time},
};

/// Another daemon, as this one knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// How old its knowledge of the site was when it last spoke here itself, and when that was.
    pub staleness: Option<(Span, Time)>,
    /// Its data centre.
    pub centre: Name,
    /// How many heartbeats it had made when it last spoke here itself.
    pub sequence: u32,
    /// When this daemon first knew of it.
    pub added: Time,
    /// When it was last heard, here or by one that told of it; `None` before that.
    pub last_heard: Option<Time>,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its life when it last spoke here itself.
    pub incarnation: u32,
    /// Up to where it knows the site.
    pub revs: Revs,
    /// Where it stands.
    pub stage: Stage,
    /// How it stands with the store, as it last said here itself.
    pub watch: Watch,
}
