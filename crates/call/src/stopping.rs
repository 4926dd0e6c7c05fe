//! The end of requests while the daemon stops.

use {
    crate::{CallAction, CallError, CallId, dispatcher::Dispatcher},
    unit::{Span, Time},
};

/// The delay after which a caller may retry if its request was refused because this daemon stops.
/// Another daemon can take it at once.
pub const STOP_RETRY_AFTER: Span = Span::millis(100);

impl Dispatcher {
    /// Whether a response that is expected after this span comes before the stop, if there is one.
    pub(crate) fn fits_stop(&self, now: Time, expected: Span) -> bool {
        self.stop.is_none_or(|stop| stop.fits(now, expected))
    }

    /// Answers all requests in progress: those that no worker has got are refused as not run, the
    /// others get what a worker answered before, or are lost.
    pub(crate) fn answer_all(&mut self, now: Time) {
        let mut ids: Vec<CallId> = self.calls.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let in_flight = !call.attempts.is_empty() || call.forward.is_some();
            match call.fallback {
                Some(link) => self.finish(id, CallAction::Deliver(id, link)),
                None if in_flight || call.maybe_ran => self.fail_call(now, id, CallError::Lost),
                None => self.fail_call(now, id, CallError::NotRun(STOP_RETRY_AFTER)),
            }
        }
    }
}
