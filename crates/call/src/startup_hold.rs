use unit::{Span, Time};

/// The longest time after its start for which a daemon holds requests.
const MAX_HOLD: Span = Span::millis(500);

/// Whether a daemon that has just started holds the requests that arrive, until it knows what to do
/// with them.
///
/// This answers the load after many daemons have restarted at once: their callers come back within
/// a moment, while a daemon takes some tenths of a second to learn of the configuration and the
/// workers. To refuse these requests would cost their callers a longer wait, and one of the few
/// times that they come back.
#[derive(Clone, Copy, Debug)]
pub struct StartupHold {
    /// When requests are answered even if nothing is known; `None` once they are.
    until: Option<Time>,
}

impl StartupHold {
    /// Begins to hold requests at the daemon's start.
    pub fn new(now: Time) -> Self {
        Self {
            until: Some(now + MAX_HOLD),
        }
    }

    /// Whether requests are held now.
    pub fn is_active(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When the requests that are held have to be answered; `None` if none are held any more.
    pub fn next_check(&self) -> Option<Time> {
        self.until
    }

    /// Holds no more requests: the daemon knows what to do with them, or the time is over.
    pub fn end(&mut self) {
        self.until = None;
    }
}
