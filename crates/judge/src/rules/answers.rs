//! What callers get.

use crate::{Breach, Case, Outcome, Promise, requests::Sent};

pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let mut breaches = wrong(case);
    let lost = lost(case);
    if lost.len() > case.bounds.lost {
        breaches.extend(lost);
    }
    breaches
}

/// Answers that aren't the worker's own to the request.
fn wrong(case: &Case<'_>) -> Vec<Breach> {
    let answers = case
        .requests
        .iter()
        .filter_map(|(id, request)| Some((id, request.answer?)));
    answers
        .filter(|(_, (_, outcome))| *outcome == Outcome::Wrong)
        .map(|(id, (at, _))| Breach {
            at,
            evidence: format!("{id} got another answer than its worker's"),
            promise: Promise::OwnAnswer,
        })
        .collect()
}

/// Requests whose connection ended without an answer, though neither the daemon was disrupted while
/// the connection lasted, nor a worker that had the request.
fn lost(case: &Case<'_>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, request, sent) in case.requests.sent() {
        let Some((at, Outcome::Closed)) = request.answer else {
            continue;
        };
        let workers = request.arrivals.iter().map(|visit| visit.worker);
        let broken = workers
            .into_iter()
            .any(|worker| case.worker_disrupted(worker, (sent.at, at)));
        if broken || daemon_disrupted(case, sent, at) {
            continue;
        }
        breaches.push(Breach {
            at,
            evidence: format!(
                "{id} got no answer from {}, which was in touch",
                sent.daemon
            ),
            promise: Promise::Answered,
        });
    }
    breaches
}

fn daemon_disrupted(case: &Case<'_>, sent: Sent<'_>, at: unit::Time) -> bool {
    // A connection that was kept since before its daemon's process ended does so whenever it is used.
    case.daemon_disrupted(sent.daemon, (sent.opened, at))
}
