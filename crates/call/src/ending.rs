//! How a request to a worker ends, and with it, or not, the caller's.

use {
    crate::{
        AttemptEnding, AttemptReport, CallAction, CallId, Decision, LinkId, Refusal,
        call::{Attempt, Call, Search},
        dispatcher::Dispatcher,
    },
    pick::{AttemptOutcome, WorkerKey},
    unit::{Span, Time},
};

/// The part of the objective after which callers that were refused may come back.
const COME_BACK: f64 = 0.5;
/// When callers may come back whose request a worker with room refused.
const COME_BACK_SOON: Span = Span::millis(10);

impl Dispatcher {
    pub(crate) fn answered(&mut self, now: Time, link: LinkId, told: AttemptReport) {
        let Some(id) = self.links.get(&link).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(at) = call
            .attempts
            .iter()
            .position(|attempt| attempt.link == link)
        else {
            return;
        };
        let attempt = call.attempts.swap_remove(at);
        let step = Decision::AttemptEnded {
            ending: told.ending,
            worker: attempt.worker,
        };
        self.learn(now, id, &attempt, told);
        self.note(now, id, step);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match told.ending {
            AttemptEnding::Served => self.finish(id, CallAction::Deliver(id, link)),
            AttemptEnding::Failed => {
                call.ran = true;
                if call.idempotent() {
                    let old = call.fallback.replace(link);
                    if let Some(old) = old {
                        self.drop_link(old);
                    }
                    self.again(now, id);
                } else {
                    self.finish(id, CallAction::Deliver(id, link));
                }
            }
            AttemptEnding::Lost | AttemptEnding::InvalidResponse => {
                call.ran = true;
                self.links.remove(&link);
                if self.calls.get(&id).is_some_and(Call::idempotent) {
                    self.again(now, id);
                } else {
                    self.give_up(now, id);
                }
            }
            AttemptEnding::Misdirected | AttemptEnding::NotRun | AttemptEnding::Unsent => {
                self.links.remove(&link);
                self.again(now, id);
            }
        }
    }

    pub(crate) fn learn(&mut self, now: Time, id: CallId, attempt: &Attempt, told: AttemptReport) {
        let took = now.since(attempt.at);
        let outcome = match told.ending {
            AttemptEnding::Served => AttemptOutcome::Served(took),
            AttemptEnding::Failed | AttemptEnding::Lost | AttemptEnding::InvalidResponse => {
                AttemptOutcome::Failed
            }
            AttemptEnding::Misdirected | AttemptEnding::NotRun | AttemptEnding::Unsent => {
                AttemptOutcome::NotRun
            }
        };
        if told.ending == AttemptEnding::Misdirected {
            self.table.record_misdirected(attempt.worker, now);
        }
        if told.ending == AttemptEnding::Lost || told.ending == AttemptEnding::Unsent {
            self.table.record_unreachable(attempt.worker, now);
        }
        self.table
            .record_outcome(attempt.worker, now, outcome, attempt.expected);
        if let Some(load) = told.load {
            self.table.record_load(attempt.worker, now, load);
        }
        if told.ending == AttemptEnding::Served
            && let Some(call) = self.calls.get(&id).cloned()
        {
            self.work(&call).record(attempt.load, took);
        }
    }

    /// Looks for another worker after one failed, where that is allowed.
    pub(crate) fn again(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if !call.may_send() {
            self.give_up(now, id);
            return;
        }
        match call.search {
            Search::Hedge => call.search = Search::First,
            Search::First => {}
            Search::Idle if call.attempts.is_empty() => {
                call.search = Search::First;
                self.search(now, id);
            }
            Search::Idle => {}
        }
    }

    /// Ends the request with what is known of it, unless a worker is still at it.
    pub(crate) fn give_up(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.search = Search::Idle;
        if !call.attempts.is_empty() {
            return;
        }
        if let Some(link) = call.fallback {
            self.finish(id, CallAction::Deliver(id, link));
            return;
        }
        let refusal = if call.ran {
            Refusal::Lost
        } else if call.sent > 0 {
            // A worker refused it though it had room; others may not.
            Refusal::NotRun(COME_BACK_SOON)
        } else {
            Refusal::NotRun(call.route.objective.scale(COME_BACK))
        };
        self.refuse(now, id, refusal);
    }

    pub(crate) fn refuse(&mut self, now: Time, id: CallId, refusal: Refusal) {
        self.note(now, id, Decision::Refused(refusal));
        self.finish(id, CallAction::Refuse(id, refusal));
    }

    /// Ends the request: `last` is its answer; everything else that is under way is closed.
    pub(crate) fn finish(&mut self, id: CallId, last: CallAction) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let kept = match &last {
            CallAction::Deliver(_, link) => Some(*link),
            _ => None,
        };
        self.actions.push(last);
        if let Some(link) = kept {
            self.links.remove(&link);
        }
        self.abandon(&call, kept);
    }

    /// Closes what is under way for a request that ended.
    pub(crate) fn abandon(&mut self, call: &Call, kept: Option<LinkId>) {
        for attempt in &call.attempts {
            self.table.record_outcome(
                attempt.worker,
                Time::ZERO,
                AttemptOutcome::Cancelled,
                Span::ZERO,
            );
            self.drop_link(attempt.link);
        }
        if let Some(ask) = &call.ask {
            self.drop_link(ask.link);
        }
        if let Some(offer) = &call.offer {
            self.decline(offer);
        }
        if let Some(link) = call.fallback.filter(|link| Some(*link) != kept) {
            self.drop_link(link);
        }
    }

    pub(crate) fn gone(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            self.abandon(&call, None);
        }
    }

    pub(crate) fn overdue(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.attempts.is_empty() {
            self.give_up(now, id);
            return;
        }
        let workers: Vec<WorkerKey> = call.attempts.iter().map(|attempt| attempt.worker).collect();
        for attempt in std::mem::take(&mut call.attempts) {
            self.table.record_outcome(
                attempt.worker,
                now,
                AttemptOutcome::Failed,
                attempt.expected,
            );
            self.drop_link(attempt.link);
        }
        for worker in workers {
            let step = Decision::AttemptEnded {
                ending: AttemptEnding::Lost,
                worker,
            };
            self.note(now, id, step);
        }
        match self.calls.get(&id).and_then(|call| call.fallback) {
            Some(link) => self.finish(id, CallAction::Deliver(id, link)),
            None => self.refuse(now, id, Refusal::Timeout),
        }
    }
}
