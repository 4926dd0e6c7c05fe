//! The handling of a caller's request from its arrival to its response: worker selection by health
//! probes, retries, hedges and deadlines.
//!
//! A *call* is one request of a caller; an *attempt* is one send of it to a worker. A *link* is one
//! use of a connection to a worker, by a probe and the attempt that may follow it. The
//! [`Dispatcher`] is a state machine without sockets or clocks: it takes events in and returns the
//! actions for the daemon to carry out.

mod admission;
mod attempt_ending;
mod body_memory;
mod call;
mod call_action;
mod call_event;
mod candidates;
mod completion;
mod configuration;
mod crashes;
mod decision;
mod dispatcher;
mod forwarding;
mod id;
mod leaving;
mod news;
mod notice_change;
mod partial;
mod policy;
mod preview;
mod reaching;
mod rejections;
mod relay;
mod rollouts;
mod selection;
mod sending;
mod shedding;
mod split;
mod startup_hold;
mod stop;
mod stopping;

pub use {
    attempt_ending::{AttemptEnding, AttemptReport, ProbeFailure},
    body_memory::{BodyMemory, ReaderKey},
    call_action::{CallAction, CallError, ForwardOrder},
    call_event::{Arrival, CallEvent, Forwarded, Liveness},
    crashes::WorkerCrash,
    decision::{Decision, DecisionRecord},
    dispatcher::Dispatcher,
    forwarding::ForwardEnding,
    id::{CallId, LinkId},
    leaving::LeavingCount,
    notice_change::NoticeChange,
    partial::{PartialBody, PartialVerdict},
    policy::Policy,
    preview::{Preview, PreviewVerdict, PreviewWorker},
    reaching::ReachChange,
    rejections::RejectionChange,
    relay::{MAX_STALL, Relay, RelayFailure, keeps_whole},
    startup_hold::StartupHold,
    stop::StopPlan,
    stopping::STOP_RETRY_AFTER,
};
