//! At most once: tickets that bind a request to one life of one daemon, and its memory of keys.

mod begin;
mod ledger;
mod outcome;
mod ticket;

pub use {
    begin::Begin,
    ledger::{Ledger, Limits},
    outcome::Outcome,
    ticket::Ticket,
};
