//! The platform: a client of its object API, and the way a change is published.

mod backoff;
mod client;
mod error;
mod object;
mod publish;
mod site;

pub use {
    backoff::Backoff,
    client::{Client, Counts},
    error::PlatError,
    object::Object,
    publish::{Publish, PublishAction, PublishEvent, Verdict},
    site::{ROOT, Site, file_object},
};
