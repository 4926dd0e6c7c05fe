//! The checks of a soak's guarantees, and their result.

use {
    crate::{
        config::config,
        execution_log::{Execution, ExecutionLog},
        key_ring::KeyTerm,
        outcome::Outcome,
        soak::{
            callers::TimedResult, keys::foreign_keys, notices::ignored_notices,
            retries::too_many_retries,
        },
    },
    std::{
        collections::{HashMap, HashSet},
        fmt::{self, Display, Formatter},
        time::{Duration, Instant},
    },
    unit::{Name, Rate},
};

/// How long `DRAIN_LIMIT` and `EVACUATION_LIMIT`, the bounds on the propagation of the store's
/// changes to daemons, stay suspended after a fault that delays the propagation.
pub(crate) const SUSPENSION_TAIL: Duration = Duration::from_secs(4);
/// How long a draining worker may still get requests, with a margin for a busy test machine.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_300);
/// How long an evacuated data centre may still get requests, with the same margin.
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_300);
/// The number of violations that are printed in full.
const MAX_SHOWN: usize = 5;
const SECOND: Duration = Duration::from_secs(1);

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

/// Checks the guarantees against what callers and workers recorded. `centres` has the data centre
/// of each worker, `indices` the index of the daemon at each address, `terms` the keys of the client
/// accounts.
pub(crate) fn check(
    requests: &[TimedResult],
    log: &ExecutionLog,
    centres: &HashMap<Name, &'static str>,
    indices: &HashMap<std::net::SocketAddrV4, usize>,
    terms: &[KeyTerm],
    history: &History,
) -> SoakReport {
    let executions = &log.entries();
    let mut report = SoakReport::default();
    for request in requests {
        *report.outcomes.entry(request.result.outcome).or_default() += 1;
    }
    report
        .violations
        .extend(wrong_results(requests, executions));
    report
        .violations
        .extend(unanswered(requests, executions, indices, history));
    report.violations.extend(cold_overloads(executions));
    report.violations.extend(drained(executions, history));
    report
        .violations
        .extend(ignored_notices(requests, &log.arrivals(), indices, history));
    report
        .violations
        .extend(foreign_keys(requests, &log.arrivals(), terms, history));
    report
        .violations
        .extend(evacuated(executions, centres, history));
    report
        .violations
        .extend(too_many_retries(requests, &log.arrivals()));
    report
}

/// Writes that ran more than once or ran although reported as not run, and responses to other
/// requests.
fn wrong_results(requests: &[TimedResult], executions: &[Execution]) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for execution in executions {
        *counts.entry(&execution.request).or_default() += 1;
    }
    let mut violations = Vec::new();
    for request in requests {
        let id = &request.result.id;
        let count = counts.get(id.as_str()).copied().unwrap_or_default();
        if request.write && count > 1 {
            violations.push(format!("{id} may run at most once and ran {count} times"));
        }
        if request.write && count > 0 && request.result.outcome == Outcome::NotRun {
            violations.push(format!("{id} was reported as not run but ran"));
        }
        if request.result.outcome == Outcome::Mixed {
            violations.push(format!("{id} got a wrong response: {request:?}"));
        }
    }
    violations
}

/// Requests without a response, sent to daemons that were neither killed nor paused meanwhile.
fn unanswered(
    requests: &[TimedResult],
    executions: &[Execution],
    indices: &HashMap<std::net::SocketAddrV4, usize>,
    history: &History,
) -> Vec<String> {
    // A large response that a worker cuts short ends the caller's connection.
    let cut: HashSet<&str> = executions
        .iter()
        .filter(|execution| {
            history.cutting.iter().any(|interval| {
                interval.subject == execution.worker && execution.began <= interval.to
            })
        })
        .map(|execution| execution.request.as_str())
        .collect();
    let disrupted = |request: &TimedResult| {
        // A connection that was kept since before its daemon was killed ends whenever it is used.
        let opened = request.began - request.result.conn_age;
        let end = request.began + request.result.elapsed;
        history.disrupted.iter().any(|interval| {
            indices.get(&request.result.daemon) == Some(&interval.subject)
                && opened <= interval.to
                && end >= interval.from
        })
    };
    requests
        .iter()
        .filter(|request| request.result.outcome == Outcome::Unanswered)
        .filter(|request| !disrupted(request) && !cut.contains(&*request.result.id))
        .map(|request| format!("{} got no response: {request:?}", request.result.id))
        .collect()
}

/// Cold workers that got more requests in a second than their cold start allows the whole fleet:
/// the rate of the service times the `cold_factor` of the settings, plus their `cold_slack`.
fn cold_overloads(executions: &[Execution]) -> Vec<String> {
    let bound = config(0)
        .services
        .values()
        .map(|service| service.cold_start.rate * 1.5 + 5.0)
        .fold(0.0, f64::max);
    let cold: Vec<&Execution> = executions
        .iter()
        .filter(|execution| execution.cold)
        .collect();
    let count = |first: &&Execution| {
        let second = cold.iter().filter(|other| {
            other.worker == first.worker
                && other.began >= first.began
                && other.began - first.began < SECOND
        });
        second.count()
    };
    cold.iter()
        .filter(|first| count(first) as f64 > bound)
        .map(|first| {
            format!(
                "cold worker {} got {} requests in a second",
                first.worker,
                count(first)
            )
        })
        .collect()
}

/// Requests that a worker got more than `DRAIN_LIMIT` after it began to drain.
fn drained(executions: &[Execution], history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for (worker, drained) in &history.draining {
        let late = executions.iter().filter(|execution| {
            execution.worker == *worker && execution.began > *drained + DRAIN_LIMIT
        });
        for execution in late.filter(|execution| bounds_apply(history, *drained, execution.began)) {
            let after = execution.began - *drained;
            violations.push(format!(
                "worker {worker} got {} {after:?} after it began to drain",
                execution.request
            ));
        }
    }
    violations
}

/// Requests that a data centre's workers got more than `EVACUATION_LIMIT` after its evacuation
/// began.
fn evacuated(
    executions: &[Execution],
    centres: &HashMap<Name, &'static str>,
    history: &History,
) -> Vec<String> {
    let mut violations = Vec::new();
    for interval in &history.evacuated {
        let late = executions.iter().filter(|execution| {
            centres.get(&execution.worker) == Some(&interval.subject)
                && execution.began > interval.from + EVACUATION_LIMIT
                && execution.began < interval.to
        });
        for execution in
            late.filter(|execution| bounds_apply(history, interval.from, execution.began))
        {
            let after = execution.began - interval.from;
            let centre = interval.subject;
            violations.push(format!(
                "data centre {centre} got {} {after:?} after its evacuation began",
                execution.request
            ));
        }
    }
    violations
}

/// Returns whether the bounds on propagation applied during the whole time between two moments.
pub(crate) fn bounds_apply(history: &History, from: Instant, to: Instant) -> bool {
    !history
        .suspensions
        .iter()
        .any(|interval| interval.from <= to && from <= interval.to + SUSPENSION_TAIL)
}
