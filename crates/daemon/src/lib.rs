//! The daemon: callers' requests, the desks that choose workers, peers, platform and operators.

mod arguments;
mod attempt;
mod callers;
mod daemon;
mod dialer;
mod error;
mod event;
mod fleet;
mod flight;
mod flow;
mod hall;
mod inbox;
mod journal;
mod launch;
mod live;
mod metrics;
mod operators;
mod platform;
mod replies;
mod run;
mod ticker;

pub use {
    event::{Event, log},
    run::run,
};
