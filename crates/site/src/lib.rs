//! The model of what a fleet serves: routes, services, workers and evacuated data centres. Each
//! part carries the store revision that last changed it, by which a daemon's view of the site is
//! merged with changes from the store and from other daemons.

mod account;
mod caller_limits;
mod change;
mod config;
mod departure;
mod health_report;
mod key_digest;
mod notice;
mod revs;
mod rollout;
mod route;
mod route_kind;
mod service;
mod versioned;
mod view;
mod worker;

pub use {
    account::Account,
    caller_limits::CallerLimits,
    change::{Change, ObjectState, Topic},
    config::{Config, normal_host},
    departure::{DepartedWorker, Departure},
    health_report::{HealthReport, LoadReport},
    key_digest::KeyDigest,
    notice::Notice,
    revs::{Era, Rev, Revs},
    rollout::{Rollout, RolloutState},
    route::{Route, Target},
    route_kind::RouteKind,
    service::{ColdStart, Service},
    versioned::Versioned,
    view::{Effect, View},
    worker::{Worker, WorkerState},
};
