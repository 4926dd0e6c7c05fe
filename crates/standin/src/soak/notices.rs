//! The checks of what workers ask of daemons in their responses: to leave, to be left alone, to get
//! no more than a limit. They go by what callers and workers recorded.

use {
    crate::{
        execution_log::{Answer, Arrival},
        outcome::Outcome,
        soak::{callers::TimedResult, report::History},
    },
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddrV4},
        time::{Duration, Instant},
    },
    unit::{Name, Rate},
};

/// How long after a response that says so a worker that leaves may still get requests, with a
/// margin for a busy test machine.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_300);
/// How long a daemon may take to back off, and how long it must have known of a limit for its
/// requests to count.
const REACTION: Duration = Duration::from_millis(500);
/// The most requests of one daemon that may reach a worker in the delay that it asked for.
const MAX_IN_DELAY: usize = 2;
/// How long after a worker first named its limit the limit is checked.
const SETTLING: Duration = Duration::from_secs(3);
/// The window over which requests are counted for a limit.
const WINDOW: Duration = Duration::from_secs(4);

/// A request that reached a worker, with the daemon that sent it.
struct Sent<'a> {
    arrival: &'a Arrival,
    /// When the caller sent the request.
    began: Instant,
    /// The index of the daemon that sent it to the worker.
    daemon: usize,
    /// The index of the daemon that its caller sent it to, which may have forwarded it.
    entry: usize,
    /// Whether the caller got this arrival's response.
    passed_on: bool,
}

impl Sent<'_> {
    /// The response, if the caller got it.
    fn told(&self) -> Option<Answer> {
        self.arrival.response.filter(|_| self.passed_on)
    }
}

/// Checks all three notices.
pub(crate) fn ignored_notices(
    requests: &[TimedResult],
    arrivals: &[Arrival],
    indices: &HashMap<SocketAddrV4, usize>,
    history: &History,
) -> Vec<String> {
    let sent = join(requests, arrivals, indices);
    let mut violations = used_after_leaving(&sent, history);
    violations.extend(ignored_delays(&sent, history));
    violations.extend(exceeded_limits(&sent, history));
    violations
}

/// Finds the daemon that sent each request. Requests of other callers than the soak's are left out.
fn join<'a>(
    requests: &[TimedResult],
    arrivals: &'a [Arrival],
    indices: &HashMap<SocketAddrV4, usize>,
) -> Vec<Sent<'a>> {
    let by_id = requests
        .iter()
        .map(|request| (&*request.result.id, request));
    let by_id: HashMap<&str, &TimedResult> = by_id.collect();
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for arrival in arrivals {
        *counts.entry(&arrival.request).or_default() += 1;
    }
    let senders = indices.iter();
    let senders: HashMap<IpAddr, usize> = senders
        .map(|(address, index)| (IpAddr::V4(*address.ip()), *index))
        .collect();
    let sent = |arrival: &'a Arrival| {
        let request = by_id.get(&*arrival.request)?;
        // After a retry or a hedge it isn't known whose response the caller got.
        let only_one = counts.get(&*arrival.request) == Some(&1);
        Some(Sent {
            arrival,
            began: request.began,
            daemon: *senders.get(&arrival.from?)?,
            entry: *indices.get(&request.result.daemon)?,
            passed_on: only_one && request.result.outcome == Outcome::Served,
        })
    };
    arrivals.iter().filter_map(sent).collect()
}

/// Requests that reached a worker too long after it had told their daemon that it leaves.
fn used_after_leaving(sent: &[Sent<'_>], history: &History) -> Vec<String> {
    let mut told: HashMap<(&Name, usize), Instant> = HashMap::new();
    let mut violations = Vec::new();
    for sent in sent {
        let worker = &sent.arrival.worker;
        let first = told.get(&(worker, sent.daemon)).copied();
        let late = first.filter(|first| sent.began > *first + DRAIN_LIMIT);
        if let Some(first) = late.filter(|first| !restarted(history, sent.daemon, *first, sent)) {
            let after = sent.began - first;
            violations.push(format!(
                "worker {worker} got {} {after:?} after it told daemon {} that it leaves",
                sent.arrival.request, sent.daemon
            ));
        }
        let leaving = sent.told().filter(|response| response.notice.leaving);
        if let Some(response) = leaving {
            for daemon in [sent.daemon, sent.entry] {
                told.entry((worker, daemon)).or_insert(response.at);
            }
        }
    }
    violations
}

/// Workers that got requests from a daemon that they had asked to back off.
fn ignored_delays(sent: &[Sent<'_>], history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for asked in sent {
        let Some(response) = asked.arrival.response else {
            continue;
        };
        let Some(retry_after) = response.notice.retry_after else {
            continue;
        };
        let worker = &asked.arrival.worker;
        let end = response.at + Duration::from(retry_after);
        let late: Vec<&Sent<'_>> = sent
            .iter()
            .filter(|sent| sent.arrival.worker == *worker && sent.daemon == asked.daemon)
            .filter(|sent| sent.arrival.at > response.at + REACTION && sent.arrival.at < end)
            .filter(|sent| !restarted(history, sent.daemon, response.at, sent))
            .collect();
        if late.len() > MAX_IN_DELAY && !is_cut(history, worker, response.at, end) {
            violations.push(format!(
                "worker {worker} asked daemon {} to back off and got {} requests from it",
                asked.daemon,
                late.len()
            ));
        }
    }
    violations
}

/// Workers that got more than one and a half times their limits, and 5 requests, in a window.
fn exceeded_limits(sent: &[Sent<'_>], history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for interval in &history.limits {
        let (worker, limit) = &interval.subject;
        let within = |at: Instant| at >= interval.from && at <= interval.to;
        let named = |sent: &&Sent<'_>| {
            let response = sent.arrival.response;
            response
                .is_some_and(|response| response.notice.rate_limit.is_some() && within(response.at))
        };
        let of_worker: Vec<&Sent<'_>> = sent
            .iter()
            .filter(|sent| sent.arrival.worker == *worker && within(sent.arrival.at))
            .collect();
        let Some(first) = of_worker.iter().copied().find(named) else {
            continue;
        };
        let mut told: HashMap<usize, Instant> = HashMap::new();
        for sent in of_worker.iter().copied().filter(named) {
            if let Some(response) = sent.told() {
                for daemon in [sent.daemon, sent.entry] {
                    told.entry(daemon).or_insert(response.at);
                }
            }
        }
        let counts = |sent: &&&Sent<'_>| {
            let at = sent.arrival.at;
            let told = told.get(&sent.daemon);
            at >= first.arrival.at + SETTLING
                && told.is_some_and(|told| at >= *told + REACTION)
                && !restarted(history, sent.daemon, interval.from, sent)
        };
        let times: Vec<Instant> = of_worker
            .iter()
            .filter(counts)
            .map(|sent| sent.arrival.at)
            .collect();
        let most = most_in_window(&times);
        let cut = is_cut(history, worker, interval.from, interval.to);
        if most as f64 > bound(*limit) && !cut {
            violations.push(format!(
                "worker {worker} named a limit of {} a second and got {most} requests in 4 s",
                limit.as_per_second()
            ));
        }
    }
    violations
}

/// The most requests that a worker with a limit may get in a window.
fn bound(limit: Rate) -> f64 {
    limit.as_per_second() * WINDOW.as_secs_f64() * 1.5 + 5.0
}

/// The most of `times`, which are in order, that lie in any window.
fn most_in_window(times: &[Instant]) -> usize {
    let counts = times.iter().enumerate().map(|(index, start)| {
        let end = times.partition_point(|at| *at < *start + WINDOW);
        end - index
    });
    counts.max().unwrap_or_default()
}

/// Whether a daemon was killed, paused or stopped between a moment and the arrival of its request.
fn restarted(history: &History, daemon: usize, since: Instant, sent: &Sent<'_>) -> bool {
    let disturbances = history.disrupted.iter().chain(&history.stopped);
    let mut of_daemon = disturbances.filter(|interval| interval.subject == daemon);
    of_daemon.any(|interval| interval.from <= sent.arrival.at && interval.to >= since)
}

/// Whether the network between the daemons and a worker was disturbed between two moments.
fn is_cut(history: &History, worker: &Name, from: Instant, to: Instant) -> bool {
    let mut cuts = history.cut.iter();
    cuts.any(|interval| interval.subject == *worker && interval.from <= to && interval.to >= from)
}
