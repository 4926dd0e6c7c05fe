//! Graceful shutdown and reloading of settings.

use {
    crate::{
        constants::{ADMIT_FRACTION, KEEP_IDLE_FRACTION, STOP_FRACTION},
        daemon::Daemon,
        log_event,
    },
    conf::Bounds,
    peer::Stage,
    serde_json::json,
    unit::{Span, Time},
};

/// The minimum time between the stop signal and the end of the process. Callers may still connect
/// for as long as they cache a directory response from before the signal.
const MIN_STOP_TIME: Span = Span::millis(2_500);

/// The progress of the daemon's graceful shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shutdown {
    /// When the stop signal was handled; `None` while the daemon isn't stopping.
    started: Option<Time>,
    /// Whether the listener for callers is closed.
    listener_closed: bool,
}

impl Shutdown {
    /// Whether new requests are still admitted.
    pub(crate) fn admits_requests(&self, now: Time, bounds: &Bounds) -> bool {
        self.started
            .is_none_or(|at| now.since(at) < bounds.stop_grace.scale(ADMIT_FRACTION))
    }

    /// Whether the process may end: [`STOP_FRACTION`] of the stop grace period has passed, or no
    /// connection of a caller is left after [`MIN_STOP_TIME`].
    pub(crate) fn is_complete(&self, now: Time, bounds: &Bounds, callers: usize) -> bool {
        let Some(started) = self.started else {
            return false;
        };
        let elapsed = now.since(started);
        elapsed >= bounds.stop_grace.scale(STOP_FRACTION)
            || (callers == 0 && elapsed >= MIN_STOP_TIME)
    }
}

impl Daemon {
    /// Starts the graceful shutdown. The directories stop naming this daemon, and requests in
    /// flight are completed. A caller's connection closes after the response to its newest request,
    /// or to its next one if none is in flight.
    pub(crate) fn begin_shutdown(&mut self, now: Time) {
        self.stage = Stage::Leaving;
        self.shutdown.started = Some(now);
        let fields = json!({"callers": self.caller_count, "requests": self.calls.len()});
        self.log_event(now, log_event::LEAVING, fields);
        let own = self.own_state();
        let actions = self.roster.announce(now, &own);
        self.run_roster_actions(now, actions);
        self.retire_quotas(now);
        self.close_callers(now, false);
    }

    /// Stops accepting callers once [`KEEP_IDLE_FRACTION`] of the stop grace period has passed, and
    /// closes their idle connections from the next tick on, when those accepted last were read.
    pub(crate) fn shutdown_tick(&mut self, now: Time) {
        let Some(started) = self.shutdown.started else {
            return;
        };
        let keep_idle = self.settings.bounds.stop_grace.scale(KEEP_IDLE_FRACTION);
        let closes = now.since(started) >= keep_idle;
        if self.shutdown.listener_closed {
            self.close_callers(now, true);
        } else if closes || self.caller_count == 0 {
            // Connections that wait in the listener's queue would be reset with it.
            self.accept_callers(now);
            if closes {
                self.shutdown.listener_closed = true;
                self.stop_accepting();
            }
        }
    }

    /// Reads the settings file at the path that the environment gives, even if the command line
    /// named another, and applies its bounds. All other settings only take effect at the next
    /// start.
    pub(crate) fn reload_settings(&mut self, now: Time) {
        match crate::run::read_settings(None) {
            Ok(settings) => {
                let fields = json!({"changed": settings != self.settings});
                self.settings.bounds = settings.bounds;
                self.log_event(now, log_event::RELOAD, fields);
            }
            Err(error) => {
                let fields = json!({"reason": error.to_string()});
                self.log_event(now, log_event::RELOAD_REFUSED, fields);
            }
        }
    }
}
