//! Stand-ins for what surrounds the daemons (the platform's store, workers and callers), and a
//! harness that runs real daemon processes on loopback addresses between them. Tests use it, and
//! the programs `demo`, `fuzz`, `load` and `soak`.

mod caller;
mod config;
mod error;
mod execution_log;
mod fleet;
mod fuzz;
mod key_ring;
mod load_profile;
mod outcome;
mod ports;
mod process;
mod proxy;
mod server;
mod settings;
mod slow_callers;
mod soak;
mod store;
mod upstream;
mod worker_fault;

pub use {
    caller::{Caller, RequestResult},
    config::{READ_PREFIX, SERVICE, WRITE_PREFIX, config},
    error::StandinError,
    execution_log::{Answer, Arrival, Execution, ExecutionLog},
    fleet::{Fleet, FleetPlan},
    fuzz::{FuzzTarget, fuzz},
    key_ring::{KeyRing, KeyTerm},
    load_profile::{LoadProfile, Report},
    outcome::Outcome,
    ports::find_free_ports,
    process::Process,
    proxy::{Cut, Proxy, ProxyFault},
    slow_callers::SlowCallers,
    soak::{Soak, SoakReport},
    store::{PAGE_SIZE, Store, StoreFault},
    upstream::Upstream,
    worker_fault::WorkerFault,
};
