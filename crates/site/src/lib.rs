//! The model of what a fleet serves: routes, services, workers and evacuated data centres. Each
//! part carries the store revision that last changed it, by which a daemon's view of the site is
//! merged with changes from the store and from other daemons.

mod account;
mod account_problem;
mod accounts;
mod api_keys;
mod caller_limits;
mod change;
mod config;
mod credential;
mod departure;
mod health_report;
mod key_digest;
mod key_error;
mod legacy;
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
    account_problem::AccountProblem,
    accounts::Accounts,
    api_keys::ApiKeys,
    caller_limits::CallerLimits,
    change::{Change, ObjectState, Topic},
    config::{Config, normal_host},
    credential::Credential,
    departure::{DepartedWorker, Departure},
    health_report::{HealthReport, LoadReport},
    key_digest::KeyDigest,
    key_error::KeyError,
    legacy::{LegacyChange, LegacyRevs},
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
