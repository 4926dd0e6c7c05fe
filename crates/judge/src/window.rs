//! Sliding windows over what was sent and arrived.

use unit::{Span, Time};

/// Something that was sent at the first time and arrived at the second.
pub(crate) type Passage = (Time, Time);

/// The window of this length in which most of the passages lie whole: its beginning, and how many. A
/// window begins with the sending of one of them.
pub(crate) fn fullest(passages: &[Passage], window: Span) -> Option<(Time, usize)> {
    // What takes longer than a window lies whole in none.
    let short = passages
        .iter()
        .filter(|(sent, arrived)| arrived.since(*sent) < window);
    let (mut sent, mut arrived): (Vec<Time>, Vec<Time>) = short.copied().unzip();
    sent.sort_unstable();
    arrived.sort_unstable();
    let count = |before: usize, begin: Time| {
        let end = begin + window;
        arrived.partition_point(|at| *at < end) - before
    };
    let counts = sent
        .iter()
        .enumerate()
        .map(|(at, begin)| (*begin, count(first_of(&sent, at), *begin)));
    counts.max_by_key(|(_, count)| *count)
}

/// How many of the sorted times lie in the window that begins at `begin`.
pub(crate) fn count_in(times: &[Time], begin: Time, window: Span) -> usize {
    let index = |at: Time| times.partition_point(|time| *time < at);
    index(begin + window) - index(begin)
}

/// The index of the first of the times that equal the one at `at`.
fn first_of(times: &[Time], at: usize) -> usize {
    let mut first = at;
    while first > 0 && times[first - 1] == times[at] {
        first -= 1;
    }
    first
}
