use {
    crate::{Span, Time},
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A process's monotonic clock. It advances while the machine is suspended and isn't affected when
/// the system's wall clock is set.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock whose origin is the current moment.
    pub fn start() -> Self {
        Self {
            origin: boot_time(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time::at(Span::from(boot_time().saturating_sub(self.origin)))
    }

    /// The wall-clock time in milliseconds since the Unix epoch. It may jump, so it serves only for
    /// logs.
    pub fn unix_millis() -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        // A wall clock set before 1970 yields the epoch.
        Span::from(elapsed.unwrap_or_default()).as_millis()
    }
}

/// The time since the machine booted, including time in suspension.
fn boot_time() -> Duration {
    // The call fails only if the kernel doesn't support this clock. The clock is as old as the
    // calls that report ready sockets, which the daemon needs anyway.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
