//! Requests that last longer than their route lets them wait.

use crate::{Breach, Case, Promise};

/// Whether more than half of the requests that were unanswered at their route's timeout were so for
/// longer than the slack after it, at daemons that weren't disrupted.
pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let (mut overdue, mut late) = (0, Vec::new());
    for (id, request, sent) in case.requests.sent() {
        let due = sent.at + sent.timeout;
        let latest = due + case.bounds.answer_slack;
        let answered = request.answer.map(|(at, _)| at);
        // A record that ends before tells nothing of the request.
        let end = case.entries.last().map(|entry| entry.at);
        let Some(until) = answered.or(end.filter(|end| *end > latest)) else {
            continue;
        };
        if until <= due || case.daemon_disrupted(sent.daemon, (sent.opened, latest)) {
            continue;
        }
        overdue += 1;
        if until > latest {
            late.push((latest, id, sent.daemon));
        }
    }
    if late.len() * 2 <= overdue {
        return Vec::new();
    }
    let breach = |(at, id, daemon)| Breach {
        at,
        evidence: format!("{id} was unanswered by {daemon} long after its timeout"),
        promise: Promise::AnsweredByTimeout,
    };
    late.into_iter().map(breach).collect()
}
