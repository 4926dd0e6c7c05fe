//! Client of the platform's metadata store, as a state machine without sockets: registers this
//! daemon, lists the topics and watches them, and copes with responses that come late or never and
//! with calls that the store refuses.

mod action;
mod backoff;
mod client;
mod members;
mod probe;
mod registration;
mod topic_sync;
mod topics;

pub use {
    action::{RenewalReason, StoreAction, StoreCallError, StoreCallId, StoreEvent},
    client::{Role, StoreClient},
};
