//! What daemons tell one another: that they live, what they know of the site, and how they stand
//! with the store. A state machine without sockets; the messages are small datagrams, and what a
//! daemon lacks of the site it fetches over a stream.

mod coarse_age;
mod codec;
mod duties;
mod error;
mod fetch;
mod heartbeat;
mod member;
mod roster;
mod sending;
mod stage;

pub use {
    coarse_age::CoarseAge,
    codec::{decode, encode},
    error::PeerError,
    fetch::{FetchRequest, FrameCodec},
    heartbeat::{Contact, GossipEntry, Heartbeat},
    member::Member,
    roster::{HEARTBEAT_PERIOD, OwnState, Roster, RosterAction},
    stage::{Stage, Watch},
};
