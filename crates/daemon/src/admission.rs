//! How a caller's request is read and taken in, or answered without a worker.

use {
    crate::{callers::Slot, daemon::Daemon, event, options::COME_BACK, requests::Ticket},
    call::{Arrival, CallEvent, CallId},
    peer::Stage,
    platform::{RequestHead, problem_response},
    serde_json::json,
    site::Route,
    std::sync::Arc,
    unit::Time,
    wire::{Request, WireError},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl Daemon {
    pub(crate) fn take_requests(&mut self, now: Time, place: usize) {
        loop {
            let Some(caller) = self.caller(place) else {
                return;
            };
            if caller.closing {
                return;
            }
            match caller.reader.next_request() {
                Ok(Some(request)) => {
                    caller.begun = None;
                    self.take_request(now, place, request);
                }
                Ok(None) => {
                    let begun = caller.reader.has_pending();
                    caller.begun = begun.then(|| caller.begun.unwrap_or(now));
                    if caller.slots.is_empty() && caller.reader.take_continue_due() {
                        // A failure shows when the connection is next read.
                        let _ = self.write_conn(place, CONTINUE, now);
                    }
                    return;
                }
                Err(error) => {
                    self.bad_request(now, place, error);
                    return;
                }
            }
        }
    }

    fn bad_request(&mut self, now: Time, place: usize, error: WireError) {
        if let Some(caller) = self.caller(place) {
            caller.closing = true;
        }
        let fields = json!({"status": error.status(), "reason": error.to_string()});
        self.log_event(now, event::REQUEST_BAD, fields);
        let answer = problem_response(error.status(), &error.to_string(), None, None);
        self.own_answer(now, place, answer, true);
    }

    fn take_request(&mut self, now: Time, place: usize, request: Request) {
        self.metrics.requests.inc();
        let last = request.closes_connection() || self.stage == Stage::Leaving;
        if last && let Some(caller) = self.caller(place) {
            caller.closing = true;
        }
        let head = match platform::read_request_head(&request) {
            Ok(head) => head,
            Err(error) => {
                let fields = json!({"status": 400, "reason": error.to_string()});
                self.log_event(now, event::REQUEST_BAD, fields);
                let answer = problem_response(400, &error.to_string(), None, None);
                self.own_answer(now, place, answer, last);
                return;
            }
        };
        match self.route(now, &head.host, request.path()) {
            Ok(route) => self.hand_over(now, place, request, &head, route, last),
            Err((status, reason)) => {
                self.tell_unrouted(now, &head.id, status, reason);
                let retry = (status == 503).then_some(COME_BACK);
                let answer = problem_response(status, reason, Some(&head.id), retry);
                self.own_answer(now, place, answer, last);
            }
        }
    }

    fn tell_unrouted(&mut self, now: Time, request: &str, status: u16, reason: &str) {
        let fields = json!({
            "request": request,
            "status": status,
            "reason": reason,
            "config": self.config.as_ref().map(|config| config.version),
            "age_ms": self.roster.staleness(now, &self.own()).as_millis(),
        });
        self.log_event(now, event::REQUEST_BAD, fields);
    }

    /// Hands a request over to the decisions.
    fn hand_over(
        &mut self,
        now: Time,
        place: usize,
        request: Request,
        head: &RequestHead,
        route: Arc<Route>,
        last: bool,
    ) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let Some(conn) = self.conns.get(place) else {
            return;
        };
        let ticket = Ticket {
            began: now,
            head: request.method == "HEAD",
            id: head.id.as_str().into(),
            place,
            request,
            serial: conn.serial,
        };
        self.calls.insert(id, ticket);
        if let Some(caller) = self.caller(place) {
            caller.slots.push_back(Slot {
                answer: None,
                call: Some(id),
                last,
            });
        }
        let begin = Arrival {
            call: id,
            timeout: head.deadline,
            route,
        };
        self.dispatch(now, CallEvent::Arrived(begin));
    }

    /// The route of a request, or the status and the reason for which it isn't served.
    fn route(&self, now: Time, host: &str, path: &str) -> Result<Arc<Route>, (u16, &'static str)> {
        if !self.shutdown.takes(now, &self.settings.bounds) {
            return Err((503, "this daemon is stopping; use another"));
        }
        let Some(config) = &self.config else {
            return Err((503, "no configuration is known yet"));
        };
        let route = config.route(host, path);
        route
            .cloned()
            .ok_or((404, "no route has this host and path"))
    }
}
