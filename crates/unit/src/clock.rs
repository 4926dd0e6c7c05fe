use {
    crate::{Span, Time},
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A process's monotonic clock. It goes on while the machine is suspended, and steps of the time
/// of day don't move it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock whose origin is this moment.
    pub fn start() -> Self {
        Self {
            origin: boot_time(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time::at(Span::from(boot_time().saturating_sub(self.origin)))
    }

    /// The time of day in milliseconds since the Unix epoch, for logs only; it may step.
    pub fn unix_millis() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        // A time of day before 1970 is written as 1970.
        Span::from(since.unwrap_or_default()).as_millis()
    }
}

/// The time since the machine started, suspended time included.
fn boot_time() -> Duration {
    // The call fails only for clocks that the system doesn't know; this one is as old as the
    // readiness calls that the daemon needs anyway.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
