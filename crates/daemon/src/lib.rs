//! The daemon's process: sockets, timers and signals around the decisions of the other crates.
//!
//! One thread does everything but the writing of logs. It waits for sockets to become ready and for
//! the next timer, turns what happens into events for the state machines, and carries out the
//! actions that they answer with.

mod admin;
mod admission;
mod arguments;
mod callers;
mod channel;
mod conn;
mod constants;
mod daemon;
mod dump;
mod error;
mod explain;
mod io_events;
mod listeners;
mod log;
mod log_event;
mod metrics;
mod peers;
mod pool;
mod requests;
mod run;
mod shutdown;
mod signals;
mod store_conn;
mod timers;
mod worker_responses;
mod workers;

pub use run::main;
