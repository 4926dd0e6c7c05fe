//! Load shedding: a request that would have to wait for a worker, and likely in vain, is rejected at
//! once.

use {
    crate::{CallError, CallId, Decision, dispatcher::Dispatcher},
    unit::{Span, Time},
};

/// How long after the last wait in vain a route's requests may wait without a limit again.
const EVIDENCE_LIFE: Span = Span::secs(1);
/// The factor on the limit after a wait in vain.
const VAIN_FACTOR: f64 = 0.8;
/// What a wait that succeeded adds to the limit.
const SUCCESS_STEP: f64 = 0.5;
/// The lowest limit: of the requests that find no other one waiting, this fraction waits, so that
/// capacity that becomes available is noticed.
const MIN_LIMIT: f64 = 0.25;
/// The least delay after which a caller whose request was rejected may return, as a fraction of its
/// route's latency objective.
const RETURN_AFTER: f64 = 0.25;
/// By how much the delay of each caller may be longer, as such a fraction.
const RETURN_SPREAD: f64 = 0.5;

/// How many requests of one route may wait for a worker at a time, by how the route's last waits
/// ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitLimit {
    /// `None` while no wait ended in vain lately.
    limit: Option<f64>,
    vain_at: Time,
    waiting: u32,
}

impl WaitLimit {
    /// Whether one more request may wait; `chance` is a random number below one.
    fn admits(&mut self, now: Time, chance: f64) -> bool {
        if now.since(self.vain_at) > EVIDENCE_LIFE {
            self.limit = None;
        }
        let waiting = f64::from(self.waiting);
        self.limit.is_none_or(|limit| waiting + chance < limit)
    }

    /// Records that a request waits.
    fn begin(&mut self) {
        self.waiting += 1;
    }

    /// Records that a request waits no more, because its caller is gone or it was forwarded.
    fn end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records that a request that waited was sent.
    fn succeed(&mut self) {
        self.end();
        if let Some(limit) = &mut self.limit {
            *limit += SUCCESS_STEP;
        }
    }

    /// Records that a request waited in vain.
    fn fail(&mut self, now: Time) {
        let limit = self.limit.unwrap_or(f64::from(self.waiting));
        self.limit = Some((limit * VAIN_FACTOR).max(MIN_LIMIT));
        self.vain_at = now;
        self.end();
    }
}

impl Dispatcher {
    /// Whether a request that found no suitable worker may wait for one. Requests that were sent
    /// already, that another daemon passed on, or of which probes failed and none was answered, always
    /// may.
    pub(crate) fn admits_wait(&mut self, now: Time, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return true;
        };
        let unanswered = !call.reached && !call.probed.is_empty();
        if call.waiting || call.sends > 0 || call.from_peer || unanswered {
            return true;
        }
        let chance = self.rng.f64();
        let limit = self.wait_limits.entry(call.route.name.clone());
        let limit = limit.or_default();
        if !limit.admits(now, chance) {
            return false;
        }
        limit.begin();
        call.waiting = true;
        true
    }

    /// Records that a request waits no more, and whether it was in vain; `None` if that isn't known.
    pub(crate) fn end_wait(&mut self, now: Time, id: CallId, in_vain: Option<bool>) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.waiting) else {
            return;
        };
        call.waiting = false;
        let Some(limit) = self.wait_limits.get_mut(&call.route.name) else {
            return;
        };
        match in_vain {
            Some(true) => limit.fail(now),
            Some(false) => limit.succeed(),
            None => limit.end(),
        }
    }

    /// Rejects a request that would likely wait in vain. Callers that are rejected together return
    /// spread over the time for which such a request would have waited.
    pub(crate) fn shed(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let limit = self.wait_limits.get(&call.route.name).copied();
        let limit = limit.unwrap_or_default();
        let fraction = RETURN_AFTER + RETURN_SPREAD * self.rng.f64();
        let delay = call.route.objective.scale(fraction);
        let decision = Decision::Shed {
            limit: limit.limit.unwrap_or_default(),
            waiting: limit.waiting,
        };
        self.record(now, id, decision);
        let error = self.await_opening(now, id, CallError::NotRun(delay));
        self.fail_call(now, id, error);
    }
}
