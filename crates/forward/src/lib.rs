//! Requests that a daemon passes on to another one, its *helper*, since it can't reach the workers
//! itself: when it does so, to whom, and what a helper takes.

mod helpers;
mod intake;
mod message;
mod reach;

pub use {
    helpers::{HelperMember, Helpers, service_hash},
    intake::Intake,
    message::{ForwardExtended, ForwardReply, ForwardRequest},
    reach::Reach,
};
