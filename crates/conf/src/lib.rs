//! Settings of a daemon, service files, and the site that operators publish.

mod bundle;
mod change;
mod class;
mod conflict;
mod doc;
mod edit;
mod kind;
mod priority;
mod problem;
mod root;
mod service;
mod settings;
mod vm;

pub use {
    bundle::Bundle,
    change::Change,
    class::Class,
    conflict::Conflict,
    edit::Edit,
    kind::Kind,
    priority::Priority,
    problem::{Problem, Problems},
    root::{Generation, Root},
    service::Service,
    settings::{Policy, Settings},
    vm::{Role, Standing, Vm, VmList},
};

/// The longest object that the platform holds, in bytes.
pub const OBJECT_LIMIT: usize = 1 << 20;
