//! Stand-ins for what surrounds a fleet: the platform's store, workers and callers, and a harness
//! that runs real daemons on loopback addresses between them. Outside tests, `load` and `demo` use
//! it.

mod caller;
mod error;
mod fleet;
mod ledger;
mod load;
mod outcome;
mod ports;
mod process;
mod proxy;
mod server;
mod settings;
mod sites;
mod soak;
mod store;
mod upstream;

pub use {
    caller::{Attempt, Caller},
    error::StandinError,
    fleet::{Fleet, Plan},
    ledger::{Ledger, Run},
    load::{Load, Report},
    outcome::Outcome,
    ports::free_ports,
    process::Process,
    proxy::{Harm, Proxy},
    sites::{READS, SERVICE, WRITES, config},
    soak::{Soak, Verdict},
    store::{Mood, Store},
    upstream::{Fault, Upstream},
};
