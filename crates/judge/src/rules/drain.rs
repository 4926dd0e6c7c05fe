//! Workers that drain or have left.

use {
    crate::{Breach, Case, Event, Promise},
    unit::{Map, Name, Time},
};

/// Requests that reached a worker too long after the store had acknowledged that it drains.
pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let drained = drained(case);
    let mut breaches = Vec::new();
    for (id, request, sent) in case.requests.sent() {
        for visit in &request.arrivals {
            let Some(since) = drained.get(visit.worker).copied() else {
                continue;
            };
            let late = visit.at > since + case.bounds.drain;
            if late && case.changes_spread((since, visit.at), sent.daemon) {
                breaches.push(Breach {
                    at: visit.at,
                    evidence: format!(
                        "{id} reached {} {} ms after it began to drain",
                        visit.worker,
                        visit.at.since(since).as_millis()
                    ),
                    promise: Promise::Drain,
                });
            }
        }
    }
    breaches
}

/// When each worker began to drain. One that starts again under its id is another one.
fn drained<'a>(case: &Case<'a>) -> Map<&'a Name, Time> {
    let mut drained: Map<&Name, Time> = Map::default();
    for entry in case.entries {
        match &entry.event {
            Event::Drained { worker } => {
                drained.entry(worker).or_insert(entry.at);
            }
            Event::Joined { worker, .. } => {
                drained.remove(worker);
            }
            _ => {}
        }
    }
    drained
}
