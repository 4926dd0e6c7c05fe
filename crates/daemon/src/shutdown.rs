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

/// The minimum time between the stop signal and the end of the process. For as long as callers
/// cache a directory answer from before the signal, they may still connect.
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

    /// Whether the process may end: it has no connections of callers left, or its time is up.
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
    /// Starts the graceful shutdown. The directories stop naming this daemon, requests in flight
    /// are completed, and callers' connections are closed after their last response.
    pub(crate) fn begin_shutdown(&mut self, now: Time) {
        self.stage = Stage::Leaving;
        self.shutdown.started = Some(now);
        let fields = json!({"callers": self.caller_count, "requests": self.calls.len()});
        self.log_event(now, log_event::LEAVING, fields);
        let own = self.own_state();
        let actions = self.roster.announce(now, &own);
        self.run_roster_actions(now, actions);
        self.close_callers(now, false);
    }

    /// Stops accepting callers and closes their idle connections once these have been kept long
    /// enough.
    pub(crate) fn shutdown_tick(&mut self, now: Time) {
        let Some(started) = self.shutdown.started else {
            return;
        };
        let keep_idle = self.settings.bounds.stop_grace.scale(KEEP_IDLE_FRACTION);
        if now.since(started) >= keep_idle {
            if !self.shutdown.listener_closed {
                self.shutdown.listener_closed = true;
                self.stop_accepting();
            }
            self.close_callers(now, true);
        }
    }

    /// Reads the settings file again and applies its bounds. All other settings only take effect at
    /// the next start.
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
