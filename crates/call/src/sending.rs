//! Sending a request to a worker, and hedging it to a second worker if the first one is slow.

use {
    crate::{
        CallAction, CallId, Decision,
        call::{Attempt, Call, Candidate, SelectionState},
        dispatcher::Dispatcher,
    },
    std::cmp::Reverse,
    unit::{Name, Span, Time},
};

/// The least time left before the deadline with which a request is still sent to a worker.
pub(crate) const MIN_REMAINING: Span = Span::millis(5);
/// How long a candidate may be kept while other workers are probed. One that is older was found
/// before a pause of this process.
const MAX_CANDIDATE_AGE: Span = Span::millis(400);
/// The delay before worker selection for a hedge is tried again after it found no worker, or the
/// hedge was not permitted.
const HEDGE_RETRY_DELAY: Span = Span::millis(50);
/// The least time since sending after which a request is hedged, as a multiple of the expected time
/// to the response.
const HEDGE_DELAY_FACTOR: f64 = 1.6;
/// A hedge is planned for when this many times the typical latency is left of the latency
/// objective, so that the second worker can still meet it.
const HEDGE_MARGIN: f64 = 1.25;

impl Dispatcher {
    /// Ends worker selection for a hedge for now and sets a timer to try again.
    pub(crate) fn stop_hedge(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.selection = SelectionState::Idle;
        call.hedged = false;
        call.clear_round();
        let candidate = call.candidate.take();
        self.timers.push(Reverse((now + HEDGE_RETRY_DELAY, id)));
        if let Some(candidate) = candidate {
            self.discard_candidate(&candidate);
        }
    }

    /// Sends the request to a candidate if there is time left and, for a retry or a hedge, a permit
    /// from the retry budget, and a response is expected before this daemon stops. Otherwise stops the hedge or gives up. Selects another worker if this
    /// one admits no more requests, or what is known of it is outdated.
    pub(crate) fn send(&mut self, now: Time, id: CallId, candidate: Candidate) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.candidate = None;
        call.clear_round();
        let canary = call.canary;
        if !self.may_run(now, id) {
            self.discard_candidate(&candidate);
            self.stop_selection(now, id);
            return;
        }
        let outdated = now.since(candidate.found_at) > MAX_CANDIDATE_AGE;
        // A worker may have got another lane since it was probed.
        let other_lane = canary != self.is_canary(candidate.worker);
        let admitted = !other_lane && self.rollout_admits(now, candidate.worker);
        if outdated || !admitted || !self.table.may_send(candidate.worker, now) {
            self.discard_candidate(&candidate);
            if let Some(call) = self.calls.get_mut(&id) {
                call.canary &= admitted;
            }
            self.select_worker(now, id);
            return;
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let left = call.deadline.since(now);
        let repeat = call.sends > 0;
        let selection = call.selection;
        let hedge = selection == SelectionState::Hedge;
        let service = call.service.clone();
        let prior_sends = call.sends;
        let permitted = left >= MIN_REMAINING
            && self.fits_stop(now, candidate.expected.min(left))
            && (!repeat || self.take_retry_permit(now, id, &service, selection));
        if !permitted {
            self.discard_candidate(&candidate);
            if hedge {
                self.stop_hedge(now, id);
            } else {
                self.give_up(now, id);
            }
            return;
        }
        let decision = Decision::Sent {
            prior_sends,
            cold: candidate.cold,
            expected: candidate.expected,
            load: candidate.load,
            worker: candidate.worker,
        };
        self.record(now, id, decision);
        if !self.table.is_local(candidate.worker) {
            self.count_leaving(&service);
        }
        let late = |call: &Call| candidate.expected > call.objective_left(now);
        let in_vain = self.calls.get(&id).is_some_and(late);
        self.end_wait(now, id, Some(in_vain));
        self.table
            .record_sent(candidate.worker, now, candidate.cold_permit.is_some());
        self.count_send(candidate.worker, !repeat);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.sends += 1;
        call.selection = SelectionState::Idle;
        call.sent_to.push(candidate.worker);
        call.attempts.push(Attempt {
            sent_at: now,
            expected: candidate.expected,
            link: candidate.link,
            load: candidate.load,
            worker: candidate.worker,
        });
        self.actions
            .push(CallAction::Send(id, candidate.link, left));
        self.schedule_hedge(now, id, candidate.expected);
    }

    /// Takes a permit to send a request once more. Hedges leave a part of the budget to retries.
    pub(crate) fn take_retry_permit(
        &mut self,
        now: Time,
        id: CallId,
        service: &Name,
        selection: SelectionState,
    ) -> bool {
        let hedge = selection == SelectionState::Hedge;
        let fraction = if hedge {
            self.policy.hedge_fraction
        } else {
            1.0
        };
        let sharers = self.table.sharers(now);
        let budget = self.retry_budget(service);
        let granted = budget.take_permit(now, sharers, fraction);
        let usage = budget.usage(now, sharers);
        // A hedge that is refused is tried again every few milliseconds, too often for the log.
        if granted || !hedge {
            let decision = Decision::RetryPermit {
                granted,
                hedge,
                usage,
            };
            self.record(now, id, decision);
        }
        granted
    }

    /// Sets the timer at which the request is hedged if it is still in flight: once the worker has
    /// taken longer than expected, but no sooner than the last moment at which a second worker can
    /// typically still meet the latency objective.
    pub(crate) fn schedule_hedge(&mut self, now: Time, id: CallId, expected: Span) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        if !call.is_idempotent() || call.hedged || !call.may_send() {
            return;
        }
        let baseline = self.latency_estimate(&call).baseline();
        let latest =
            (call.arrived_at + call.route.objective).saturating_sub(baseline.scale(HEDGE_MARGIN));
        let at = latest.max(now + expected.scale(HEDGE_DELAY_FACTOR));
        if at < call.deadline {
            self.timers.push(Reverse((at, id)));
        }
    }

    /// Starts worker selection for a hedge if all attempts in flight are slow and the request may
    /// be hedged.
    pub(crate) fn start_hedge(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let slow = |attempt: &Attempt| {
            now.since(attempt.sent_at) >= attempt.expected.scale(HEDGE_DELAY_FACTOR)
        };
        let due = call.selection == SelectionState::Idle
            && !call.hedged
            && call.is_idempotent()
            && call.may_send()
            && !call.attempts.is_empty()
            && call.attempts.iter().all(slow);
        if due {
            call.hedged = true;
            call.canary = false;
            call.selection = SelectionState::Hedge;
            self.select_worker(now, id);
        }
    }
}
