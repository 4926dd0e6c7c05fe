//! The message by which daemons tell each other that they are alive.

use {
    crate::{CoarseAge, MemberAges, Stage, Watch},
    poison::CrashNews,
    serde::{Deserialize, Serialize},
    site::Revs,
    std::net::Ipv4Addr,
    unit::{Name, Rate, Span},
};

/// Heartbeats name the limits of at most this many workers.
pub const MAX_LIMITS: usize = 6;
/// The regular heartbeats of one tick in this many name limits, which is once a second.
pub const LIMITS_ONE_IN: u64 = 5;

/// Heartbeats name at most this many workers that reject requests; at most [`MAX_REJECTING_BESIDE`],
/// and half of the limits, if they name limits, too. So they need no more bytes than limits alone.
pub const MAX_REJECTING: usize = 9;
/// See [`MAX_REJECTING`].
pub const MAX_REJECTING_BESIDE: usize = 4;

/// Heartbeats hold at most this many pieces of news of requests that crash workers.
pub const MAX_CRASHES: usize = 8;

/// Heartbeats name at most this many services that the sender can't reach.
pub const MAX_UNREACHED: usize = 16;

/// What the sender of a heartbeat last heard about a third daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// The time since the daemon was last heard.
    pub age: CoarseAge,
    /// The hash of the daemon's name.
    pub name_hash: u32,
    /// The daemon's lifecycle stage.
    pub stage: Stage,
}

/// What the sender of a heartbeat was told of a worker's limit on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// The time since the worker said so.
    pub age: CoarseAge,
    /// The limit, or `None` if the worker names none any more.
    pub rate: Option<Rate>,
    /// The hash of the worker's process run.
    pub run: u32,
}

/// What the sender of a heartbeat knows of a worker that rejects requests although its load reports
/// show room, or does so no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectingEntry {
    /// The time since the request ended that showed it.
    pub age: CoarseAge,
    /// The hash of the worker's process run.
    pub run: u32,
    /// The number of rejections in a row; 0 if the worker accepts requests again.
    pub streak: u8,
}

/// What a daemon tells others of workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// What it learned lately of requests that crash workers.
    pub crashes: Vec<CrashNews>,
    /// Limits that workers name; not all of them, and only in some heartbeats.
    pub limits: Vec<LimitEntry>,
    /// The hashes of the services whose workers it can't reach.
    pub unreached: Vec<u32>,
}

/// Name and address of a daemon that the receiver may not know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The daemon's data centre.
    pub centre: Name,
    /// The daemon's address.
    pub ip: Ipv4Addr,
    /// The daemon's name.
    pub name: Name,
}

/// A heartbeat: reports the sender's state and what it knows of other daemons. It is sent in every
/// period, after changes, and in reply to heartbeats of others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The time since the sender's view of the site was last known to be current.
    pub staleness: Span,
    /// The sender's data centre.
    pub centre: Name,
    /// Daemons that the sender knows; empty unless the receiver is new to it or asked for them.
    pub contacts: Vec<Contact>,
    /// The number of this heartbeat, counted from 1 since the sender's start.
    pub sequence: u32,
    /// The sender's address.
    pub ip: Ipv4Addr,
    /// A random number that the sender draws at its start; it tells a restarted daemon from the
    /// earlier process run.
    pub incarnation: u32,
    /// The sender's name.
    pub name: Name,
    /// What the sender learned of workers; `None` if it has nothing to tell.
    pub news: Option<Box<News>>,
    /// The revisions up to which the sender knows the site.
    pub revs: Revs,
    /// What the sender last heard about other daemons; not all of them in every heartbeat, and none
    /// if `ages` has them.
    pub gossip: Vec<GossipEntry>,
    /// The same in a compact form, which only extended messages hold, as a section.
    #[serde(skip)]
    pub ages: Option<Box<MemberAges>>,
    /// Name hashes from the receiver's gossip that the sender doesn't know; it asks for their
    /// contacts.
    pub wanted: Vec<u32>,
    /// The sender's lifecycle stage.
    pub stage: Stage,
    /// The state of the sender's watch on the store.
    pub watch: Watch,
}

impl Heartbeat {
    /// Adds what the sender learned of workers.
    pub fn add_news(&mut self, news: News) {
        if news == News::default() {
            return;
        }
        let own = self.news.get_or_insert_default();
        own.crashes.extend(news.crashes);
        own.limits.extend(news.limits);
        own.unreached.extend(news.unreached);
    }
}
