//! The checks of client accounts: requests run only for the account of their key, while it is in
//! force.

use {
    crate::{
        execution_log::Arrival,
        key_ring::KeyTerm,
        soak::{
            callers::TimedResult,
            report::{History, bounds_apply},
        },
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long after the store's acknowledgement a key that was added or dropped counts as before:
/// `config-apply-s` with a margin for a busy test machine.
const APPLY_LIMIT: Duration = Duration::from_millis(2_800);
const UNAUTHORIZED: u16 = 401;

/// Checks what reached workers, and which requests were refused for their keys.
pub(crate) fn foreign_keys(
    requests: &[TimedResult],
    arrivals: &[Arrival],
    terms: &[KeyTerm],
    history: &History,
) -> Vec<String> {
    if terms.is_empty() {
        return Vec::new();
    }
    let by_id: HashMap<&str, &TimedResult> = requests
        .iter()
        .map(|request| (request.result.id.as_str(), request))
        .collect();
    let mut violations = Vec::new();
    for arrival in arrivals {
        if let Some(request) = by_id.get(arrival.request.as_str()) {
            let key = request.result.key.as_deref();
            violations.extend(foreign(arrival, key, terms, history));
        }
    }
    for request in requests {
        if request.result.status == Some(UNAUTHORIZED)
            && is_valid(request.result.key.as_deref(), request, terms, history)
        {
            let id = &request.result.id;
            violations.push(format!("{id} was refused for a key in force: {request:?}"));
        }
    }
    violations
}

/// What is wrong with a request, sent with `key`, that reached a worker.
fn foreign(
    arrival: &Arrival,
    key: Option<&str>,
    terms: &[KeyTerm],
    history: &History,
) -> Option<String> {
    let id = &arrival.request;
    if arrival.has_key {
        return Some(format!("{id} showed its key to a worker"));
    }
    let [account] = &arrival.accounts[..] else {
        return Some(format!("{id} ran for the accounts {:?}", arrival.accounts));
    };
    let mut own = terms
        .iter()
        .filter(|term| Some(term.key.as_str()) == key && *term.account == **account)
        .filter(|term| term.added <= arrival.at)
        .peekable();
    if own.peek().is_none() {
        return Some(format!("{id} ran for {account}, which never had its key"));
    }
    let in_time = |term: &KeyTerm| {
        let late = |dropped: Instant| {
            arrival.at > dropped + APPLY_LIMIT && bounds_apply(history, dropped, arrival.at)
        };
        !term.dropped.is_some_and(late)
    };
    if own.any(in_time) {
        return None;
    }
    Some(format!("{id} ran for {account} after its key was dropped"))
}

/// Whether a request's key was in force at every daemon until its response.
fn is_valid(
    key: Option<&str>,
    request: &TimedResult,
    terms: &[KeyTerm],
    history: &History,
) -> bool {
    let end = request.began + request.result.elapsed;
    terms.iter().any(|term| {
        Some(term.key.as_str()) == key
            && term.added + APPLY_LIMIT < request.began
            && term.dropped.is_none_or(|dropped| dropped > end)
            && bounds_apply(history, term.added, end)
    })
}
