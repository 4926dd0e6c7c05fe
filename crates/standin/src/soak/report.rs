//! The checks of a soak's guarantees, and their result.

use {
    crate::{
        key_ring::KeyTerm,
        outcome::Outcome,
        soak::{keys::foreign_keys, notices::ignored_notices, record::Observations},
    },
    judge::{Record, judge},
    std::{
        collections::HashMap,
        fmt::{self, Display, Formatter},
        time::{Duration, Instant},
    },
    unit::{Name, Rate},
};

/// How long the bounds on the propagation of the store's changes to daemons stay suspended after a
/// fault that delays the propagation.
pub(crate) const SUSPENSION_TAIL: Duration = Duration::from_secs(4);
/// The number of violations that are printed in full.
const MAX_SHOWN: usize = 5;

/// A time interval, and the daemon or data centre that it concerns, if any.
#[derive(Clone, Debug)]
pub(crate) struct Interval<T> {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
    pub(crate) subject: T,
}

/// The faults on which checks depend, with their times.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Workers that sent large responses without their ends.
    pub(crate) cutting: Vec<Interval<Name>>,
    /// Daemons, by index, that were killed or paused.
    pub(crate) disrupted: Vec<Interval<usize>>,
    /// Workers whose network was disturbed.
    pub(crate) cut: Vec<Interval<Name>>,
    /// Draining workers, with the time at which the store got their draining entries.
    pub(crate) draining: Vec<(Name, Instant)>,
    /// Evacuated data centres.
    pub(crate) evacuated: Vec<Interval<&'static str>>,
    /// Workers that named limits.
    pub(crate) limits: Vec<Interval<(Name, Rate)>>,
    /// Daemons, by index, that were stopped and started again.
    pub(crate) stopped: Vec<Interval<usize>>,
    /// Faults that suspend the bounds on propagation.
    pub(crate) suspensions: Vec<Interval<()>>,
}

/// The result of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Violated guarantees, each with the request, worker or data centre concerned.
    pub violations: Vec<String>,
    /// The faults, each with the seconds from the start of the soak to its beginning.
    pub faults: Vec<String>,
    /// Where daemons of two builds ran: how many datagrams and requests of other daemons those of the
    /// earlier build refused.
    pub refused_in_production: Option<(usize, usize)>,
    /// How the rollout ended, if there was one.
    pub rollout: Option<String>,
    /// The number of requests with each outcome.
    pub outcomes: HashMap<Outcome, usize>,
}

impl Display for SoakReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut outcomes: Vec<_> = self.outcomes.iter().collect();
        outcomes.sort();
        write!(f, "{} faults, {outcomes:?}", self.faults.len())?;
        if let Some((datagrams, requests)) = self.refused_in_production {
            write!(
                f,
                ", {datagrams} datagrams and {requests} requests refused by the earlier build"
            )?;
        }
        if let Some(rollout) = &self.rollout {
            write!(f, ", {rollout}")?;
        }
        for violation in self.violations.iter().take(MAX_SHOWN) {
            write!(f, "\n  broken: {violation}")?;
        }
        let more = self.violations.len().saturating_sub(MAX_SHOWN);
        if more > 0 {
            write!(f, "\n  and {more} more")?;
        }
        Ok(())
    }
}

/// Checks the guarantees against what callers and workers recorded: those of a record by its judge,
/// and those of what workers ask for and of `terms`, the keys of the client accounts.
pub(crate) fn check(seen: &Observations<'_>, record: &Record, terms: &[KeyTerm]) -> SoakReport {
    let mut report = SoakReport::default();
    for request in seen.requests {
        *report.outcomes.entry(request.result.outcome).or_default() += 1;
    }
    let arrivals = seen.log.arrivals();
    let breaches = judge(record).into_iter().map(|breach| breach.to_string());
    report.violations.extend(breaches);
    report.violations.extend(ignored_notices(
        seen.requests,
        &arrivals,
        seen.indices,
        seen.history,
    ));
    report
        .violations
        .extend(foreign_keys(seen.requests, &arrivals, terms, seen.history));
    report
}

/// Returns whether the bounds on propagation applied during the whole time between two moments.
pub(crate) fn bounds_apply(history: &History, from: Instant, to: Instant) -> bool {
    !history
        .suspensions
        .iter()
        .any(|interval| interval.from <= to && from <= interval.to + SUSPENSION_TAIL)
}
