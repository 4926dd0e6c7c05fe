use {
    crate::{Span, Time},
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A process's monotonic clock, tied once to the wall clock at its start.
///
/// A later step of the wall clock doesn't move it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: Span,
    origin: Instant,
}

impl Clock {
    /// Starts a clock whose origin is this moment.
    pub fn start() -> Self {
        let epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            epoch: Span::from(epoch),
            origin: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time::at(Span::from(self.origin.elapsed()))
    }

    /// The system clock's value at `time`, in milliseconds since the Unix epoch.
    pub fn unix_millis(&self, time: Time) -> u64 {
        (self.epoch + time.since(Time::ZERO)).as_millis()
    }
}
