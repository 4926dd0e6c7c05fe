//! The gossip protocol between the daemons of a fleet: heartbeats, membership, the choice of the
//! daemons that watch the platform's store, and requests for missing site changes.
//!
//! The [`Roster`] is a state machine without sockets. Heartbeats are small datagrams; a daemon that
//! lacks site changes fetches them over a stream.

mod change_section;
mod coarse_age;
mod codec;
mod datagram;
mod election;
mod error;
mod fetch;
mod gossip;
mod handshake;
mod heartbeat;
mod member;
mod member_ages;
mod roster;
mod stage;
mod topic_revs;

pub use {
    change_section::ChangeSection,
    coarse_age::CoarseAge,
    codec::{decode, encode},
    datagram::{Datagram, Format, Section, SectionTag},
    error::PeerError,
    fetch::{FetchRequest, FrameCodec, PeerRequest},
    heartbeat::{
        Contact, GossipEntry, Heartbeat, LIMITS_ONE_IN, LimitEntry, MAX_CRASHES, MAX_LIMITS,
        MAX_REJECTING, MAX_REJECTING_BESIDE, MAX_UNREACHED, News, RejectingEntry,
    },
    member::Member,
    member_ages::MemberAges,
    roster::{HEARTBEAT_PERIOD, OwnState, Roster, RosterAction},
    stage::{Stage, Watch},
    topic_revs::TopicRevs,
};
