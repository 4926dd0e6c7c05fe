//! Choice of a worker: the desk of one service in one daemon, a state machine without clocks,
//! sockets or threads.

mod action;
mod choose;
mod decision;
mod desk;
mod dialing;
mod ending;
mod event;
mod job;
mod lend;
mod lent;
mod msg;
mod report;
mod seat;
mod seating;
mod spec;
mod verdict;
mod worker;

pub use {
    action::{Action, Refusal},
    decision::Decision,
    desk::Desk,
    event::Event,
    job::Job,
    msg::Msg,
    report::{DeskReport, WorkerReport},
    seat::Seat,
    spec::{Policy, Spec},
    verdict::Verdict,
};
