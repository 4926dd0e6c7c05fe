//! The fleet: who is alive, who is whose home, how the site spreads, and the links between daemons.

mod beat;
mod counted;
mod entries;
mod error;
mod frame;
mod keys;
mod link;
mod links;
mod member;
mod proof;
mod report;
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
    report::{MemberReport, ViewReport},
    spread::{Spread, SpreadAction, Update, merge, update_for},
    stage::{Joining, Leaving, Serving, Stage},
    view::{View, ViewAction, ViewEvent},
};
