//! Graceful shutdown and reloading of settings.

use {
    crate::{
        callers::ResponseForm,
        conn::{Conn, ConnKind},
        daemon::Daemon,
        log_event,
    },
    call::{CallError, CallEvent, CallId, STOP_RETRY_AFTER, StopPlan},
    peer::Stage,
    platform::problem_response,
    serde_json::{Value, json},
    unit::{Span, Time},
};

/// The progress of the daemon's graceful shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shutdown {
    /// Whether everything that was owed at the end has been answered.
    answered: bool,
    /// Whether the listener for callers is closed.
    listener_closed: bool,
    /// The plan of the stop; `None` while the daemon isn't stopping.
    plan: Option<StopPlan>,
}

impl Shutdown {
    /// Whether any new request may be admitted.
    pub(crate) fn is_admitting(&self, now: Time) -> bool {
        self.plan.is_none_or(|plan| plan.is_admitting(now))
    }

    /// Whether a request is admitted that its route aims to have answered within `objective`, and
    /// that ends after `max_wait` at the latest.
    pub(crate) fn admits(&self, now: Time, objective: Span, max_wait: Span) -> bool {
        self.plan
            .is_none_or(|plan| plan.admits(now, objective, max_wait))
    }

    /// When the shutdown has to be looked at next.
    pub(crate) fn next_check(&self, now: Time) -> Option<Time> {
        self.plan.and_then(|plan| plan.next_check(now))
    }
}

/// What this daemon owes to callers, and to daemons that forwarded requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Owed {
    /// Connections on which nothing is under way; a request may still come on one.
    idle: usize,
    /// Requests without a response: they wait, or are at a worker or at another daemon.
    requests: usize,
    /// Connections with a response, or a part of one, that the caller has yet to take.
    responses: usize,
    /// Connections on which a part of a request has arrived.
    uploads: usize,
}

impl Owed {
    fn is_nothing(self) -> bool {
        self == Self::default()
    }

    fn to_json(self) -> Value {
        json!({
            "idle": self.idle,
            "requests": self.requests,
            "responses": self.responses,
            "uploads": self.uploads,
        })
    }

    /// Adds what is owed on a caller's connection.
    fn add(&mut self, conn: &Conn) {
        let mut unanswered = 0;
        let mut upload = false;
        let mut closing = false;
        match &conn.kind {
            ConnKind::Caller(caller) => {
                unanswered = caller.unanswered();
                upload = caller.has_partial_request();
                closing = caller.pipeline.len() > unanswered;
            }
            // The other end may not have taken what the system accepted for sending.
            ConnKind::Lingering(_) => closing = true,
            _ => {}
        }
        let response = closing || conn.channel.has_unsent();
        self.requests += unanswered;
        self.responses += usize::from(response);
        self.uploads += usize::from(upload);
        self.idle += usize::from(unanswered == 0 && !upload && !response);
    }
}

impl Daemon {
    /// What this daemon owes at this moment.
    fn owed(&self) -> Owed {
        let mut owed = Owed::default();
        let conns = self.conns.iter().map(|(_, conn)| conn);
        conns
            .filter(|conn| conn.is_of_caller())
            .for_each(|conn| owed.add(conn));
        owed
    }

    /// Starts the graceful shutdown. The directories stop naming this daemon, and requests in
    /// flight are completed. A caller's connection closes after the response to its newest request,
    /// or to its next one if none is in flight.
    pub(crate) fn begin_shutdown(&mut self, now: Time) {
        let plan = StopPlan::new(now, self.settings.bounds.stop_grace);
        self.stage = Stage::Leaving;
        self.shutdown.plan = Some(plan);
        let fields = json!({"callers": self.caller_count, "owed": self.owed().to_json()});
        self.log_event(now, log_event::LEAVING, fields);
        let own = self.own_state();
        let actions = self.roster.announce(now, &own);
        self.run_roster_actions(now, actions);
        self.retire_quotas(now);
        self.dispatch(now, CallEvent::Stopping(plan));
        self.close_callers(now, false);
    }

    /// Stops accepting callers once the plan of the stop says so, and closes their idle connections
    /// from the next tick on, when those accepted last were read. Answers all that is still owed
    /// when the plan says so.
    pub(crate) fn shutdown_tick(&mut self, now: Time) {
        let Some(plan) = self.shutdown.plan else {
            return;
        };
        let closes = !plan.keeps_idle(now);
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
        if now >= plan.answers_at() && !self.shutdown.answered {
            self.shutdown.answered = true;
            self.answer_owed(now);
        }
    }

    /// Whether the shutdown is complete, so that the process may end.
    pub(crate) fn is_stopped(&mut self, now: Time) -> bool {
        let Some(plan) = self.shutdown.plan else {
            return false;
        };
        if !plan.is_over(now, false) {
            return false;
        }
        let owed = self.owed();
        let over = plan.is_over(now, !owed.is_nothing());
        if over {
            self.log_event(now, log_event::STOP, json!({"owed": owed.to_json()}));
        }
        over
    }

    /// Answers all requests that have no response yet, and those of which only a part has arrived.
    fn answer_owed(&mut self, now: Time) {
        self.dispatch(now, CallEvent::StopEnded);
        // What is left waits for its account's quota and is unknown to the dispatcher.
        let waiting: Vec<CallId> = self.quota_waits.keys().copied().collect();
        for call in waiting {
            self.cancel_quota_wait(call);
            self.fail_call(now, call, CallError::NotRun(STOP_RETRY_AFTER));
        }
        let partial = |conn: &Conn| match &conn.kind {
            ConnKind::Caller(caller) => caller.has_partial_request() && !caller.closing,
            _ => false,
        };
        let conns = self.conns.iter().filter(|(_, conn)| partial(conn));
        let conn_keys: Vec<usize> = conns.map(|(conn_key, _)| conn_key).collect();
        for conn_key in conn_keys {
            if let Some(caller) = self.caller_conn(conn_key) {
                caller.closing = true;
            }
            let detail = "this daemon is stopping; use another";
            let response = problem_response(503, detail, None, Some(STOP_RETRY_AFTER));
            self.send_own_response(now, conn_key, response, ResponseForm::LAST);
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
