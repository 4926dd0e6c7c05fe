//! A fault soak: real daemons run under random external faults, one after another and overlapping,
//! while callers and workers record every request, from which violated guarantees are found.

mod callers;
mod fault;
mod injection;
mod keys;
mod notices;
mod record;
mod replacements;
mod report;
mod rollouts;
mod runner;

pub use {report::SoakReport, runner::Soak};
