//! A fault soak: real daemons under random faults from outside them, in series and overlapping,
//! while callers and workers watch over what is promised.

mod acts;
mod callers;
mod fault;
mod judge;
mod player;

pub use {judge::Verdict, player::Soak};
