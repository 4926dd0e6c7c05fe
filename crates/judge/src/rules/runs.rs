//! What runs, how often, and at how many workers.

use {
    crate::{Breach, Case, Outcome, Promise, requests::Request},
    unit::{Name, Set},
};

pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let requests = case.requests.iter();
    requests
        .flat_map(|(id, request)| {
            [
                unrequested(id, request),
                repeated(id, request),
                false_promise(id, request),
                many_workers(case, id, request),
            ]
        })
        .flatten()
        .collect()
}

/// A request that no caller sent.
fn unrequested(id: &Name, request: &Request<'_>) -> Option<Breach> {
    let run = request.runs.first().filter(|_| request.sent.is_none())?;
    Some(Breach {
        at: run.at,
        evidence: format!("{id}, which no caller sent, ran at {}", run.worker),
        promise: Promise::Requested,
    })
}

/// A request that isn't idempotent and ran again.
fn repeated(id: &Name, request: &Request<'_>) -> Option<Breach> {
    request.sent.filter(|sent| !sent.idempotent)?;
    let second = request.runs.get(1)?;
    let workers: Vec<&str> = request.runs.iter().map(|run| &**run.worker).collect();
    Some(Breach {
        at: second.at,
        evidence: format!("{id} ran at {}", workers.join(", ")),
        promise: Promise::AtMostOnce,
    })
}

/// A request that isn't idempotent, was reported as not run, and ran.
fn false_promise(id: &Name, request: &Request<'_>) -> Option<Breach> {
    request.sent.filter(|sent| !sent.idempotent)?;
    let (at, _) = request
        .answer
        .filter(|(_, outcome)| *outcome == Outcome::NotRun)?;
    let run = request.runs.first()?;
    Some(Breach {
        at,
        evidence: format!("{id} was reported as not run and ran at {}", run.worker),
        promise: Promise::NotRun,
    })
}

/// A request that reached more workers than its route allows. Workers that were disrupted meanwhile
/// don't count.
fn many_workers(case: &Case<'_>, id: &Name, request: &Request<'_>) -> Option<Breach> {
    let sent = request.sent?;
    let last = request.runs.last()?;
    let mut workers: Set<&Name> = request.runs.iter().map(|run| run.worker).collect();
    workers.retain(|worker| !case.worker_disrupted(worker, (sent.at, last.at)));
    let allowed = sent.max_attempts as usize;
    (workers.len() > allowed).then(|| Breach {
        at: last.at,
        evidence: format!("{id} ran on {} workers of {allowed}", workers.len()),
        promise: Promise::MaxAttempts,
    })
}
