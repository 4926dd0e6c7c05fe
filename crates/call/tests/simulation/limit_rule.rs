//! The users' rule on workers that name a limit on the requests that they take.

use {
    crate::sim_worker::SimWorker,
    unit::{Rate, Span, Time},
};

/// The time that the daemons have to comply after a worker first named its limit.
pub(crate) const SETTLING: Span = Span::secs(3);
/// How long before a request its daemon must have been told of the limit for the request to count.
const TOLD_BEFORE: Span = Span::millis(500);
const WINDOW: Span = Span::secs(4);

/// The most requests that a worker may get in any window.
pub(crate) fn bound(limit: Rate) -> f64 {
    limit.as_per_second() * WINDOW.as_secs() * 1.5 + 5.0
}

/// The times of the requests that count for a worker's limit.
fn counted(worker: &SimWorker) -> Vec<Time> {
    let Some(first_told) = worker.told.values().min().copied() else {
        return Vec::new();
    };
    let counts = |(at, daemon): &&(Time, usize)| {
        let told = worker.told.get(daemon);
        *at >= first_told + SETTLING && told.is_some_and(|told| *at >= *told + TOLD_BEFORE)
    };
    let arrivals = worker.arrivals.iter().filter(counts);
    arrivals.map(|(at, _)| *at).collect()
}

/// The most requests that count in any window.
pub(crate) fn most_in_window(worker: &SimWorker) -> usize {
    let times = counted(worker);
    let until = |start: &Time| times.partition_point(|at| *at < *start + WINDOW);
    let counts = times.iter().enumerate();
    let counts = counts.map(|(index, start)| until(start) - index);
    counts.max().unwrap_or_default()
}
