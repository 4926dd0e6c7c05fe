//! The fleet: who is alive, who is whose home, how the site spreads, and the links between daemons.

mod beat;
mod counted;
mod entries;
mod error;
mod frame;
mod keys;
mod link;
mod links;
mod proof;
mod serve;
mod spread;
mod stage;
mod tls;
mod view;

pub use {
    beat::{Beat, Standing},
    entries::{Candidate, entries, home, sharers},
    error::PeerError,
    frame::{Frame, LIMIT as FRAME_LIMIT, decode, encode},
    keys::Keys,
    links::{Incoming, Links},
    spread::{Spread, SpreadAction, Update, merge, update_for},
    stage::{Joining, Leaving, Serving, Stage},
    view::{MemberReport, View, ViewAction, ViewEvent, ViewReport},
};
