//! Quotas of client accounts.

use {
    crate::{
        Breach, Case, Promise,
        window::{Passage, fullest},
    },
    unit::{Map, Name},
};

/// Windows in which more of an account's requests were sent and began to run than its quota allows.
pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (account, passages) in passages(case) {
        let Some(bound) = case.bounds.quotas.get(account) else {
            continue;
        };
        if let Some((at, count)) = fullest(&passages, case.bounds.quota_window)
            && count as f64 > *bound
        {
            breaches.push(Breach {
                at,
                evidence: format!("{count} requests of {account} ran in a window of {bound}"),
                promise: Promise::Quota,
            });
        }
    }
    breaches
}

/// When the requests of each account were sent and began to run.
fn passages<'a>(case: &Case<'a>) -> Map<&'a Name, Vec<Passage>> {
    let mut by_account: Map<&Name, Vec<Passage>> = Map::default();
    for (_, request, sent) in case.requests.sent() {
        if let (Some(account), Some(run)) = (sent.account, request.runs.first()) {
            by_account
                .entry(account)
                .or_default()
                .push((sent.at, run.at));
        }
    }
    by_account
}
