//! Sending a request to a worker, and to a second one where the first takes long.

use {
    crate::{
        CallAction, CallId, Decision,
        call::{Attempt, Offer, Search},
        dispatcher::Dispatcher,
    },
    std::cmp::Reverse,
    unit::{Span, Time},
};

/// Least time that must be left for a worker to be given the request.
const MIN_LEFT: Span = Span::millis(5);
/// The pause before another search for a second worker, where one found none.
const HEDGE_PAUSE: Span = Span::millis(50);
/// The time since sending, in parts of what was expected, before which a request isn't sent again.
const HEDGE_AFTER: f64 = 1.6;
/// How many times the typical work must still fit into the objective for a hedge to pay.
const HEDGE_MARGIN: f64 = 1.25;

impl Dispatcher {
    /// Ends the search for a second worker for now; it begins anew a little later.
    pub(crate) fn stop_hedge(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.search = Search::Idle;
        call.hedged = false;
        call.asked.clear();
        let offer = call.offer.take();
        self.timers.push(Reverse((now + HEDGE_PAUSE, id)));
        if let Some(offer) = offer {
            self.decline(&offer);
        }
    }

    pub(crate) fn send(&mut self, now: Time, id: CallId, offer: Offer) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.offer = None;
        call.asked.clear();
        let left = call.deadline.since(now);
        let repeat = call.sent > 0;
        let hedge = call.search == Search::Hedge;
        let part = if hedge {
            self.policy.hedge_fraction
        } else {
            1.0
        };
        let service = call.service.clone();
        let before = call.sent;
        let members = self.table.member_count();
        let permitted = left >= MIN_LEFT
            && (!repeat || self.retry_share(&service).take_permit(now, members, part));
        if !permitted {
            self.decline(&offer);
            if hedge {
                self.stop_hedge(now, id);
            } else {
                self.give_up(now, id);
            }
            return;
        }
        let step = Decision::Sent {
            prior_sends: before,
            cold: offer.cold,
            expected: offer.expected,
            load: offer.load,
            worker: offer.worker,
        };
        self.note(now, id, step);
        self.table
            .record_sent(offer.worker, now, offer.permit.is_some());
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.sent += 1;
        call.search = Search::Idle;
        call.tried.push(offer.worker);
        call.attempts.push(Attempt {
            at: now,
            expected: offer.expected,
            link: offer.link,
            load: offer.load,
            worker: offer.worker,
        });
        self.actions.push(CallAction::Send(id, offer.link, left));
        self.plan_hedge(now, id, offer.expected);
    }

    /// Sets the moment at which the request is sent again, should it still be at work: late enough
    /// that the worker is slower than expected, early enough that another can make the objective.
    pub(crate) fn plan_hedge(&mut self, now: Time, id: CallId, expected: Span) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        if !call.idempotent() || call.hedged || !call.may_send() {
            return;
        }
        let typical = self.work(&call).baseline();
        let latest =
            (call.began + call.route.objective).saturating_sub(typical.scale(HEDGE_MARGIN));
        let at = latest.max(now + expected.scale(HEDGE_AFTER));
        if at < call.deadline {
            self.timers.push(Reverse((at, id)));
        }
    }

    pub(crate) fn hedge(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let slow = |attempt: &Attempt| now.since(attempt.at) >= attempt.expected.scale(HEDGE_AFTER);
        let due = call.search == Search::Idle
            && !call.hedged
            && call.idempotent()
            && call.may_send()
            && !call.attempts.is_empty()
            && call.attempts.iter().all(slow);
        if due {
            call.hedged = true;
            call.search = Search::Hedge;
            self.search(now, id);
        }
    }
}
