//! The life of a caller's request: which worker it goes to, when it is sent again, and what the
//! caller is told. A state machine without sockets or clocks: events in, actions out.

mod action;
mod answer;
mod call;
mod desk;
mod ending;
mod event;
mod id;
mod note;
mod offers;
mod policy;
mod search;
mod sending;
mod split;

pub use {
    action::{Action, Refusal},
    answer::{Answer, AskFailure, Told},
    desk::Desk,
    event::{Begin, Event},
    id::{CallId, LinkId},
    note::{Note, Step},
    policy::Policy,
};
