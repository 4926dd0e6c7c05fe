use unit::Span;

/// The part of the time to the deadline that is for observing, at least and at most.
const OBSERVE_FRACTIONS: (f64, f64) = (0.4, 0.65);
/// What the shift, its confirmation and the writing of the state need before the deadline: a ramp of
/// at most 8 s, requests in flight, and calls to a slow store.
const RESERVE: Span = Span::secs(20);
/// The part of the time to the deadline that the shift takes, at most [`MAX_RAMP`].
const RAMP_FRACTION: f64 = 0.1;
const MAX_RAMP: Span = Span::secs(8);
/// The part of the time to the deadline after which little evidence is enough.
const LATE_FRACTION: f64 = 0.12;
/// How long before the deadline a rollout without a verdict is rolled back, so that the state is
/// written by then.
const CLOSE: Span = Span::secs(2);

/// When a rollout does what, from the writing of its object on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timetable {
    /// When a rollout without a verdict is rolled back.
    pub close: Span,
    /// Until when the target version is observed at its share.
    pub observe: Span,
    /// From when on little evidence is enough.
    pub late: Span,
    /// How long the traffic takes to shift.
    pub ramp: Span,
}

impl Timetable {
    /// The timetable of a rollout with this time to its deadline.
    pub fn new(duration: Span) -> Self {
        let (least, most) = OBSERVE_FRACTIONS;
        let observe = duration.saturating_sub(RESERVE);
        let observe = observe.max(duration.scale(least)).min(duration.scale(most));
        Self {
            close: duration.saturating_sub(CLOSE.min(duration.scale(RAMP_FRACTION))),
            observe,
            late: observe + duration.scale(LATE_FRACTION),
            ramp: duration.scale(RAMP_FRACTION).min(MAX_RAMP),
        }
    }
}
