//! The client of the platform's store: registers this daemon, reads the topics in full and watches
//! them, and copes with answers that are late, lost or refused. A state machine without sockets.

mod action;
mod backoff;
mod client;
mod members;
mod registration;
mod topic;
mod topics;

pub use {
    action::{CallError, CallId, StoreAction, StoreEvent},
    client::{Role, StoreClient},
};
