//! Requests that are sent to a further worker.

use {
    crate::{Breach, Case, Promise, window::count_in},
    unit::{Map, Name, Span, Time},
};

/// The times of a service's requests and of the arrivals beyond the first of each.
#[derive(Default)]
struct Load {
    repeats: Vec<Time>,
    sent: Vec<Time>,
}

/// Windows with more retries of a service than its requests allow. The requests are those of the
/// window, of the one before or of the one half a window before, whichever are most.
pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (service, load) in loads(case) {
        let worst = load
            .repeats
            .iter()
            .filter_map(|begin| excess(case, &load, *begin))
            .max_by_key(|(_, count, _)| *count);
        if let Some((at, count, requests)) = worst {
            breaches.push(Breach {
                at,
                evidence: format!("{count} retries of {service} for {requests} requests"),
                promise: Promise::RetryBudget,
            });
        }
    }
    breaches
}

/// The retries and the requests of the window that begins at `begin`, if these are too few.
fn excess(case: &Case<'_>, load: &Load, begin: Time) -> Option<(Time, usize, usize)> {
    let bound = case.bounds.retries;
    let window = bound.window;
    let count = count_in(&load.repeats, begin, window);
    let starts = [Span::ZERO, window / 2, window];
    let requests = starts.map(|before| count_in(&load.sent, begin.saturating_sub(before), window));
    let requests = requests.into_iter().max().unwrap_or_default();
    let allowed = bound.ratio * requests as f64 + bound.extra;
    (count as f64 > allowed).then_some((begin, count, requests))
}

fn loads<'a>(case: &Case<'a>) -> Map<&'a Name, Load> {
    let mut loads: Map<&Name, Load> = Map::default();
    for (_, request, sent) in case.requests.sent() {
        let load = loads.entry(sent.service).or_default();
        load.sent.push(sent.at);
        let repeats = request.arrivals.iter().skip(1);
        load.repeats.extend(repeats.map(|visit| visit.at));
    }
    for load in loads.values_mut() {
        load.sent.sort_unstable();
        load.repeats.sort_unstable();
    }
    loads
}
