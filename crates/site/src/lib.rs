//! What a fleet serves: routes, services, workers and evacuated data centres, each with the
//! revision that last changed it, and how two views of it are merged.

mod caller_limits;
mod change;
mod config;
mod departure;
mod health_report;
mod idempotency;
mod revs;
mod route;
mod service;
mod versioned;
mod view;
mod worker;

pub use {
    caller_limits::CallerLimits,
    change::{Change, ObjectState, Topic},
    config::Config,
    departure::{DepartedWorker, Departure},
    health_report::{HealthReport, LoadReport},
    idempotency::Idempotency,
    revs::{Rev, Revs},
    route::{Route, Target},
    service::{ColdStart, Service},
    versioned::Versioned,
    view::{Effect, View},
    worker::{Worker, WorkerState},
};
