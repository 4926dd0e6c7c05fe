//! The memory of daemons.

use crate::{Breach, Case, Event, Promise};

/// Daemons that took more memory than they may.
pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let bound = case.bounds.memory;
    let breach = |(at, daemon, bytes)| Breach {
        at,
        evidence: format!("{daemon} took {bytes} bytes of {bound}"),
        promise: Promise::Memory,
    };
    let peaks = case.entries.iter().filter_map(|entry| match &entry.event {
        Event::PeakMemory { daemon, bytes } => Some((entry.at, daemon, *bytes)),
        _ => None,
    });
    peaks
        .filter(|(_, _, bytes)| *bytes > bound)
        .map(breach)
        .collect()
}
