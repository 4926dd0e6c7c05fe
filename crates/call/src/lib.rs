//! The life of a caller's request: which worker it goes to, when it is sent again, and what the
//! caller is told. A state machine without sockets or clocks: events in, actions out.

mod attempt_ending;
mod call;
mod call_action;
mod call_event;
mod decision;
mod dispatcher;
mod ending;
mod id;
mod offers;
mod policy;
mod search;
mod sending;
mod split;

pub use {
    attempt_ending::{AttemptEnding, AttemptReport, ProbeFailure},
    call_action::{CallAction, Refusal},
    call_event::{Arrival, CallEvent},
    decision::{Decision, DecisionRecord},
    dispatcher::Dispatcher,
    id::{CallId, LinkId},
    policy::Policy,
};
