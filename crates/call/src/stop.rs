use unit::{Span, Time};

/// The fraction of the stop grace period during which new requests are admitted.
const ADMIT_FRACTION: f64 = 0.5;
/// How long after the stop signal a request is admitted that its worker may still be running when
/// the process ends. Users allow such a request to be cut if it was sent within three seconds.
const UNSURE_ADMIT: Span = Span::millis(2_800);
/// The fraction of the stop grace period during which connections of callers are accepted and idle
/// ones are kept.
const KEEP_IDLE_FRACTION: f64 = 0.6;
/// How long before the end of the grace period everything that is still owed is answered. Some of it
/// is left for the answers to reach their callers.
const ANSWER_MARGIN: Span = Span::millis(300);
/// How long before the end of the grace period the process ends, whatever is owed.
const END_MARGIN: Span = Span::millis(100);
/// The minimum time between the stop signal and the end of the process. Callers may still connect
/// for as long as they cache a directory response from before the signal.
const MIN_STOP_TIME: Span = Span::millis(2_500);

/// The schedule of a planned stop. It decides for each request whether it is admitted, whether it may
/// be sent to a worker, and when it is answered at the latest:
///
/// - A request is admitted, or sent to a worker, only while a response is expected before
///   [`Self::answers_at`]. All others are refused at once as not run, while there is time to send them
///   to another daemon.
/// - What a worker has is waited for until then.
/// - Then whatever is left is answered: what no worker has got is refused as not run, the rest is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// When the stop signal was handled.
    begun: Time,
    /// How long after the signal the platform kills the process.
    grace: Span,
}

impl StopPlan {
    /// The plan of a stop that begins now, of a process that is killed after `grace`.
    pub const fn new(begun: Time, grace: Span) -> Self {
        Self { begun, grace }
    }

    /// Whether any new request may be admitted.
    pub fn is_admitting(&self, now: Time) -> bool {
        now.since(self.begun) < self.grace.scale(ADMIT_FRACTION)
    }

    /// Whether a request is admitted that its route aims to have answered within `objective`, and
    /// that ends after `max_wait` at the latest.
    pub fn admits(&self, now: Time, objective: Span, max_wait: Span) -> bool {
        let sure = self.fits(now, max_wait);
        let unsure = now.since(self.begun) < UNSURE_ADMIT && self.fits(now, objective);
        self.is_admitting(now) && (sure || unsure)
    }

    /// Whether what takes so long from now ends before all that is owed is answered.
    pub fn fits(&self, now: Time, expected: Span) -> bool {
        now + expected <= self.answers_at()
    }

    /// Whether callers' connections are still accepted, and idle ones kept.
    pub fn keeps_idle(&self, now: Time) -> bool {
        now.since(self.begun) < self.grace.scale(KEEP_IDLE_FRACTION)
    }

    /// When everything that is still owed is answered.
    pub fn answers_at(&self) -> Time {
        self.begun + self.grace.saturating_sub(ANSWER_MARGIN)
    }

    /// Whether the process may end, where `owes` says whether callers still have anything to get.
    pub fn is_over(&self, now: Time, owes: bool) -> bool {
        let elapsed = now.since(self.begun);
        elapsed >= self.grace.saturating_sub(END_MARGIN) || (!owes && elapsed >= MIN_STOP_TIME)
    }

    /// When the plan has to be looked at again after now.
    pub fn next_check(&self, now: Time) -> Option<Time> {
        let end = self.begun + self.grace.saturating_sub(END_MARGIN);
        let checks = [self.begun + MIN_STOP_TIME, self.answers_at(), end];
        checks.into_iter().filter(|at| *at > now).min()
    }
}
