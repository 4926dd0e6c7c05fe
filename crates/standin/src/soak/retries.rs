//! The check of the limit on retries: over all daemons, in any window, as the users count them.

use {
    crate::{execution_log::Arrival, settings::bounds, soak::callers::TimedResult},
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
};

/// The worst window in which the fleet sent more retries than the limit allows. The requests are
/// those of the window, of the one before or of the one half a window before, whichever are most.
pub(crate) fn too_many_retries(requests: &[TimedResult], arrivals: &[Arrival]) -> Option<String> {
    let limit = bounds();
    let mut sent: Vec<Instant> = requests.iter().map(|request| request.began).collect();
    sent.sort_unstable();
    let mut seen = HashSet::new();
    let mut repeats: Vec<Instant> = arrivals
        .iter()
        .filter(|arrival| !seen.insert(&arrival.request))
        .map(|arrival| arrival.at)
        .collect();
    repeats.sort_unstable();
    let window = Duration::from(limit.retry_window);
    let excess = |begin: &Instant| {
        let count = count(&repeats, *begin, window);
        let starts = [Duration::ZERO, window / 2, window];
        let requests = starts.map(|before| {
            let start = begin.checked_sub(before);
            start.map_or(0, |start| self::count(&sent, start, window))
        });
        let requests = requests.into_iter().max().unwrap_or_default();
        let allowed = limit.retry_ratio * requests as f64 + limit.retry_extra;
        (count as f64 > allowed).then_some((count, requests))
    };
    let (count, requests) = repeats.iter().filter_map(excess).max()?;
    Some(format!(
        "{count} retries in {window:?} for {requests} requests"
    ))
}

/// How many of the sorted `times` lie in the window that begins at `begin`.
fn count(times: &[Instant], begin: Instant, window: Duration) -> usize {
    let index = |at: Instant| times.partition_point(|time| *time < at);
    index(begin + window) - index(begin)
}
