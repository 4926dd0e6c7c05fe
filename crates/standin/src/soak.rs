//! A fault soak: real daemons under random faults from outside them, in series and overlapping,
//! while callers and workers watch over what is promised.

mod callers;
mod fault;
mod injection;
mod report;
mod runner;

pub use {report::SoakReport, runner::Soak};
