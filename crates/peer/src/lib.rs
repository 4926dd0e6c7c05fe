//! What daemons tell one another: that they live, what they know of the site, and how they stand
//! with the store. A state machine without sockets; the messages are small datagrams, and what a
//! daemon lacks of the site it fetches over a stream.

mod ago;
mod beat;
mod codec;
mod duties;
mod error;
mod fetch;
mod member;
mod roster;
mod sending;
mod stage;

pub use {
    ago::Ago,
    beat::{Beat, Contact, Row},
    codec::{decode, encode},
    error::PeerError,
    fetch::{Fetch, Frame},
    member::Member,
    roster::{Action, Own, PERIOD, Roster},
    stage::{Stage, Watch},
};
