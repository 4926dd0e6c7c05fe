//! Judges a record of what callers, workers and operators of a fleet saw against what its users were
//! promised. Without clock, network or files: the same record has the same verdict at any time.
//!
//! A [`Record`] holds the bounds in force and what happened, in order. [`judge`] returns each
//! [`Breach`] with its evidence.

mod bounds;
mod breach;
mod disruptions;
mod entry;
mod record;
mod requests;
mod rules;
mod window;

pub use {
    bounds::{Bounds, RetryBound},
    breach::{Breach, Promise},
    entry::{Entry, Event, Outcome, Subject},
    record::{Record, RecordError},
};

use {
    disruptions::Disruptions,
    requests::Requests,
    unit::{Name, Span, Time},
};

/// Returns every promise that was broken, in the order of the promises.
pub fn judge(record: &Record) -> Vec<Breach> {
    let case = Case {
        bounds: &record.bounds,
        disruptions: Disruptions::new(&record.entries),
        entries: &record.entries,
        requests: Requests::new(&record.entries),
    };
    let rules = [
        rules::runs::judge,
        rules::answers::judge,
        rules::cold_start::judge,
        rules::drain::judge,
        rules::evacuation::judge,
        rules::retries::judge,
        rules::memory::judge,
        rules::quota::judge,
        rules::timeout::judge,
    ];
    rules.iter().flat_map(|rule| rule(&case)).collect()
}

/// What the rules look at.
pub(crate) struct Case<'a> {
    pub(crate) bounds: &'a Bounds,
    pub(crate) disruptions: Disruptions<'a>,
    pub(crate) entries: &'a [Entry],
    pub(crate) requests: Requests<'a>,
}

impl Case<'_> {
    /// Whether a daemon was disrupted between two moments.
    pub(crate) fn daemon_disrupted(&self, daemon: &Name, during: (Time, Time)) -> bool {
        let subject = Subject::Daemon(daemon.clone());
        self.disruptions.meet(&subject, during, Span::ZERO)
    }

    /// Whether a worker was disrupted between two moments.
    pub(crate) fn worker_disrupted(&self, worker: &Name, during: (Time, Time)) -> bool {
        let subject = Subject::Worker(worker.clone());
        self.disruptions.meet(&subject, during, Span::ZERO)
    }

    /// Whether changes could reach a daemon in time between two moments: neither it nor what they
    /// spread by was disrupted lately.
    pub(crate) fn changes_spread(&self, during: (Time, Time), daemon: &Name) -> bool {
        let settle = self.bounds.settle;
        let daemon = Subject::Daemon(daemon.clone());
        !self.disruptions.meet(&Subject::Spreading, during, settle)
            && !self.disruptions.meet(&daemon, during, settle)
    }
}
