//! The end of an attempt, and the retry or the end of the caller's request that follows.

use {
    crate::{
        AttemptEnding, AttemptReport, CallAction, CallError, CallId, Decision, LinkId,
        call::{Attempt, Call, SelectionState},
        dispatcher::Dispatcher,
        stopping::STOP_RETRY_AFTER,
    },
    pick::{AttemptOutcome, NoticeSource, WorkerKey},
    std::sync::Arc,
    unit::{Span, Time},
};

/// The delay after which a caller may retry if its request was not sent to any worker, as a
/// fraction of the route's latency objective.
const RETRY_AFTER_FRACTION: f64 = 0.5;
/// The delay after which a caller may retry if its request was sent and did not run, such as when
/// workers refused it.
const RETRY_AFTER_REFUSED: Span = Span::millis(10);
/// The largest fraction by which the delay is longer where workers admit no requests.
const RETRY_AFTER_JITTER: f64 = 0.5;

impl Dispatcher {
    /// Handles the end of an attempt: delivers its response, retries the request or ends it.
    /// Requests that may have run are retried only if they are idempotent.
    pub(crate) fn attempt_ended(&mut self, now: Time, link: LinkId, report: AttemptReport) {
        let Some(id) = self.links.get(&link).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(index) = call
            .attempts
            .iter()
            .position(|attempt| attempt.link == link)
        else {
            return;
        };
        let attempt = call.attempts.swap_remove(index);
        let decision = Decision::AttemptEnded {
            ending: report.ending,
            worker: attempt.worker,
        };
        self.update_estimates(now, id, &attempt, report);
        self.record(now, id, decision);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let fingerprint = call.fingerprint;
        match report.ending {
            // A worker's error response, as at the deadline, doesn't show that the request may be run.
            AttemptEnding::Served => self.crash_log.record_served(now, fingerprint),
            AttemptEnding::Lost => {
                call.reached = false;
                self.check_worker(&attempt, fingerprint);
            }
            _ => {}
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match report.ending {
            AttemptEnding::Served => self.finish(id, CallAction::Deliver(id, link)),
            AttemptEnding::Failed => {
                call.maybe_ran = true;
                if call.is_idempotent() {
                    let old = call.fallback.replace(link);
                    if let Some(old) = old {
                        self.close_link(old);
                    }
                    self.retry(now, id);
                } else {
                    self.finish(id, CallAction::Deliver(id, link));
                }
            }
            AttemptEnding::Lost | AttemptEnding::InvalidResponse => {
                call.maybe_ran = true;
                self.links.remove(&link);
                if self.calls.get(&id).is_some_and(Call::is_idempotent) {
                    self.retry(now, id);
                } else {
                    self.give_up(now, id);
                }
            }
            AttemptEnding::Misdirected | AttemptEnding::NotRun | AttemptEnding::Unsent => {
                self.links.remove(&link);
                self.retry(now, id);
            }
        }
    }

    /// Updates the worker's record and the route's latency estimate from an attempt that ended.
    pub(crate) fn update_estimates(
        &mut self,
        now: Time,
        id: CallId,
        attempt: &Attempt,
        report: AttemptReport,
    ) {
        let took = now.since(attempt.sent_at);
        let outcome = match report.ending {
            AttemptEnding::Served => AttemptOutcome::Served(took),
            AttemptEnding::Failed | AttemptEnding::Lost | AttemptEnding::InvalidResponse => {
                AttemptOutcome::Failed
            }
            AttemptEnding::Misdirected | AttemptEnding::NotRun | AttemptEnding::Unsent => {
                AttemptOutcome::NotRun
            }
        };
        if report.ending == AttemptEnding::Misdirected {
            self.table.record_misdirected(attempt.worker, now);
        }
        if report.ending == AttemptEnding::Lost || report.ending == AttemptEnding::Unsent {
            self.table.record_unreachable(attempt.worker, now);
            self.note_failed(now, attempt.worker);
        } else {
            self.note_reached(now, attempt.worker);
        }
        if outcome != AttemptOutcome::NotRun
            && let Some(route) = self.calls.get(&id).map(|call| Arc::clone(&call.route))
        {
            let failed = outcome == AttemptOutcome::Failed;
            self.record_version(&route.name, attempt, Some(failed));
        }
        self.table
            .record_outcome(attempt.worker, now, outcome, attempt.expected);
        self.update_rejections(now, attempt, &report);
        if let Some(load) = report.load {
            self.table.record_load(attempt.worker, now, load);
        }
        if let Some(notice) = report.notice {
            self.record_notice(now, attempt.worker, NoticeSource::Response, notice);
        }
        if report.ending == AttemptEnding::Served
            && let Some(call) = self.calls.get(&id).cloned()
        {
            self.latency_estimate(&call).record(attempt.load, took);
        }
    }

    /// Selects another worker after a failed attempt if the route allows one more attempt. Another
    /// attempt that is still in flight is waited for first; worker selection that is in progress
    /// for a hedge goes on as that of the retry.
    pub(crate) fn retry(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.forward.is_some() {
            return;
        }
        if !call.may_send() {
            self.give_up(now, id);
            return;
        }
        match call.selection {
            SelectionState::Hedge => call.selection = SelectionState::Primary,
            SelectionState::Primary => {}
            SelectionState::Idle if call.attempts.is_empty() => {
                // A request that failed at the target version isn't sent to it again.
                call.canary = false;
                call.selection = SelectionState::Primary;
                self.select_worker(now, id);
            }
            SelectionState::Idle => {}
        }
    }

    /// Ends worker selection and, unless an attempt is still in flight, the request: with the
    /// fallback response if there is one, else with an error response.
    pub(crate) fn give_up(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.forward.is_some() {
            return;
        }
        if !call.attempts.is_empty() {
            call.selection = SelectionState::Idle;
            return;
        }
        if self.may_forward_instead(now, id) && self.forward(now, id) {
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.selection = SelectionState::Idle;
        self.end_wait(now, id, Some(true));
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(link) = call.fallback {
            self.finish(id, CallAction::Deliver(id, link));
            return;
        }
        let barred = self.crash_log.barred(now, call.fingerprint);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let key_error = self.key_error(call);
        let error = if call.maybe_ran {
            CallError::Lost
        } else if let Some(error) = key_error {
            error
        } else if let Some(span) = barred {
            CallError::Barred(span)
        } else if !self.fits_stop(now, self.needed_after_backoff(call)) {
            CallError::NotRun(STOP_RETRY_AFTER)
        } else if call.sends > 0 {
            // Workers that had room did not run the request; others may accept it, so the delay is
            // short.
            CallError::NotRun(RETRY_AFTER_REFUSED)
        } else {
            CallError::NotRun(call.route.objective.scale(RETRY_AFTER_FRACTION))
        };
        let error = self.await_opening(now, id, error);
        self.fail_call(now, id, error);
    }

    /// The error of a request that did not run, with a delay until the first worker likely admits
    /// requests again, if none does now.
    pub(crate) fn await_opening(&mut self, now: Time, id: CallId, error: CallError) -> CallError {
        let (CallError::NotRun(_), Some(call)) = (error, self.calls.get(&id)) else {
            return error;
        };
        let Some(opening) = self.table.next_opening(&call.service, now) else {
            return error;
        };
        let delay = opening.since(now).max(RETRY_AFTER_REFUSED);
        // Callers that are rejected together don't return together.
        CallError::NotRun(delay.scale(1.0 + self.rng.f64() * RETRY_AFTER_JITTER))
    }

    /// Ends the request with an error response from the daemon itself.
    pub(crate) fn fail_call(&mut self, now: Time, id: CallId, error: CallError) {
        self.record(now, id, Decision::Failed(error));
        self.finish(id, CallAction::Fail(id, error));
    }

    /// Ends the request with the action that responds to the caller; every other connection in use
    /// for the request is closed or released.
    pub(crate) fn finish(&mut self, id: CallId, response: CallAction) {
        self.end_wait(Time::ZERO, id, None);
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let delivered = match &response {
            CallAction::Deliver(_, link) => Some(*link),
            _ => None,
        };
        self.actions.push(response);
        if let Some(link) = delivered {
            self.links.remove(&link);
        }
        self.close_all(&call, delivered);
    }

    /// Closes or releases the connections in use for a request that ended, except the one whose
    /// response was delivered.
    pub(crate) fn close_all(&mut self, call: &Call, delivered: Option<LinkId>) {
        for attempt in &call.attempts {
            self.record_version(&call.route.name, attempt, None);
            self.table.record_outcome(
                attempt.worker,
                Time::ZERO,
                AttemptOutcome::Cancelled,
                Span::ZERO,
            );
            self.close_link(attempt.link);
        }
        if let Some(probe) = &call.probe {
            self.close_link(probe.link);
        }
        self.cancel_forward(call);
        if let Some(candidate) = &call.candidate {
            self.discard_candidate(candidate);
        }
        if let Some(link) = call.fallback.filter(|link| Some(*link) != delivered) {
            self.close_link(link);
        }
    }

    /// Ends a request without a response.
    pub(crate) fn caller_disconnected(&mut self, id: CallId) {
        self.end_wait(Time::ZERO, id, None);
        if let Some(call) = self.calls.remove(&id) {
            self.close_all(&call, None);
        }
    }

    /// Ends a request whose deadline has passed. Its attempts in flight count as failures of their
    /// workers.
    pub(crate) fn deadline_passed(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.attempts.is_empty() && call.forward.is_none() {
            self.give_up(now, id);
            return;
        }
        let workers: Vec<WorkerKey> = call.attempts.iter().map(|attempt| attempt.worker).collect();
        let route = Arc::clone(&call.route);
        for attempt in std::mem::take(&mut call.attempts) {
            self.record_version(&route.name, &attempt, Some(true));
            self.table.record_outcome(
                attempt.worker,
                now,
                AttemptOutcome::Failed,
                attempt.expected,
            );
            self.close_link(attempt.link);
        }
        for worker in workers {
            let decision = Decision::AttemptEnded {
                ending: AttemptEnding::Lost,
                worker,
            };
            self.record(now, id, decision);
        }
        match self.calls.get(&id).and_then(|call| call.fallback) {
            Some(link) => self.finish(id, CallAction::Deliver(id, link)),
            None => self.fail_call(now, id, CallError::Timeout),
        }
    }
}
