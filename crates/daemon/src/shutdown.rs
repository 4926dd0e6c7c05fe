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

/// The least time that a daemon goes on after the order to stop: callers may use it for as long as
/// they keep an answer of the directory from before.
const LEAST: Span = Span::millis(2_500);

/// How far the daemon is with stopping.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shutdown {
    /// When the order to stop came.
    began: Option<Time>,
    /// Whether new connections are refused and idle ones were closed.
    closed: bool,
}

impl Shutdown {
    /// Whether requests are still taken.
    pub(crate) fn admits_requests(&self, now: Time, bounds: &Bounds) -> bool {
        self.began
            .is_none_or(|at| now.since(at) < bounds.stop_grace.scale(ADMIT_FRACTION))
    }

    /// Whether the process may end.
    pub(crate) fn is_complete(&self, now: Time, bounds: &Bounds, callers: usize) -> bool {
        let Some(began) = self.began else {
            return false;
        };
        let elapsed = now.since(began);
        elapsed >= bounds.stop_grace.scale(STOP_FRACTION) || (callers == 0 && elapsed >= LEAST)
    }
}

impl Daemon {
    /// Begins to stop: callers are sent elsewhere, and what is under way is finished.
    pub(crate) fn begin_shutdown(&mut self, now: Time) {
        self.stage = Stage::Leaving;
        self.shutdown.began = Some(now);
        let fields = json!({"callers": self.caller_count, "requests": self.calls.len()});
        self.log_event(now, log_event::LEAVING, fields);
        let own = self.own_state();
        let actions = self.roster.announce(now, &own);
        self.run_roster_actions(now, actions);
        self.close_callers(now, false);
    }

    pub(crate) fn shutdown_tick(&mut self, now: Time) {
        let Some(began) = self.shutdown.began else {
            return;
        };
        let keep = self.settings.bounds.stop_grace.scale(KEEP_IDLE_FRACTION);
        if now.since(began) >= keep {
            if !self.shutdown.closed {
                self.shutdown.closed = true;
                self.stop_accepting();
            }
            self.close_callers(now, true);
        }
    }

    /// Reads the settings file again. What can't change while the process runs stays as it is.
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
