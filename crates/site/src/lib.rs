//! What a fleet serves: routes, services, workers and evacuated data centres, each with the
//! revision that last changed it, and how two views of it are merged.

mod change;
mod config;
mod departed;
mod edition;
mod kind;
mod limits;
mod load;
mod revs;
mod route;
mod service;
mod view;
mod worker;

pub use {
    change::{Change, Item, Topic},
    config::Config,
    departed::{Departed, Departure},
    edition::Edition,
    kind::Kind,
    limits::ClientLimits,
    load::{Health, Load},
    revs::{Rev, Revs},
    route::{Route, Target},
    service::{ColdStart, Service},
    view::{Effect, View},
    worker::{State, Worker},
};
