//! Workers in their cold start.

use {
    crate::{
        Breach, Case, Event, Promise,
        window::{Passage, fullest},
    },
    unit::{Map, Name, Span},
};

const SECOND: Span = Span::secs(1);

/// Cold workers that got too many requests in a second; only those count that were sent and arrived
/// within it.
pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let services = services(case);
    let mut breaches = Vec::new();
    for (worker, passages) in passages(case) {
        let Some(bound) = services
            .get(worker)
            .and_then(|service| case.bounds.cold.get(*service))
        else {
            continue;
        };
        if let Some((at, count)) = fullest(&passages, SECOND)
            && count as f64 > *bound
        {
            breaches.push(Breach {
                at,
                evidence: format!(
                    "cold worker {worker} got {count} requests in a second of {bound}"
                ),
                promise: Promise::ColdStart,
            });
        }
    }
    breaches
}

/// The service of each worker.
fn services<'a>(case: &Case<'a>) -> Map<&'a Name, &'a Name> {
    let joined = case.entries.iter().filter_map(|entry| match &entry.event {
        Event::Joined {
            worker, service, ..
        } => Some((worker, service)),
        _ => None,
    });
    joined.collect()
}

/// When the requests that reached each cold worker were sent and arrived.
fn passages<'a>(case: &Case<'a>) -> Map<&'a Name, Vec<Passage>> {
    let mut by_worker: Map<&Name, Vec<Passage>> = Map::default();
    for (_, request, sent) in case.requests.sent() {
        for visit in request.arrivals.iter().filter(|visit| visit.cold) {
            by_worker
                .entry(visit.worker)
                .or_default()
                .push((sent.at, visit.at));
        }
    }
    by_worker
}
