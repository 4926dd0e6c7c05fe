//! The daemon's process: the sockets, timers and signals around the state machines of the other
//! crates, which do no I/O of their own.
//!
//! One thread does everything except writing the log. It waits for socket readiness and for the
//! next timer, passes events to the state machines and carries out the actions that these return.

mod account_usage;
mod admin;
mod admission;
mod arguments;
mod bodies;
mod callers;
mod channel;
mod closing;
mod conn;
mod constants;
mod daemon;
mod dump;
mod error;
mod explain;
mod fetches;
mod forwards;
mod helping;
mod io_events;
mod lingering;
mod listeners;
mod log;
mod log_event;
mod metrics;
mod peers;
mod pool;
mod preview;
mod quotas;
mod relays;
mod requests;
mod rollout_news;
mod rollouts;
mod run;
mod sections;
mod shutdown;
mod signals;
mod site_changes;
mod store_conn;
mod timers;
mod transfers;
mod turns;
mod worker_checks;
mod worker_responses;
mod workers;

pub use run::main;
