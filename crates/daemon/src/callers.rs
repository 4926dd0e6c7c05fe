//! Connections of callers.

use {
    crate::{
        conn::Kind,
        daemon::Daemon,
        event,
        listeners::Door,
        options::{CALLER_PART, COME_BACK, RESERVED_DESCRIPTORS},
        requests::Ticket,
    },
    call::{Begin, CallId, Event},
    peer::Stage,
    platform::final_answer,
    serde_json::json,
    site::{ClientLimits, Route},
    std::{collections::VecDeque, sync::Arc},
    unit::Time,
    wire::{Ending, Limits, Request, RequestReader, Response, WireError},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request whose answer is due on a connection.
#[derive(Debug)]
struct Slot {
    /// The answer as it goes out, once there is one.
    answer: Option<Vec<u8>>,
    /// The request; `None` where it is answered without a worker.
    call: Option<CallId>,
    /// Whether the connection ends after its answer.
    last: bool,
}

/// A caller's connection. Its requests are worked on at once and answered in their order.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Whether no further requests are read.
    closing: bool,
    /// When the first byte of a request arrived that isn't whole yet.
    begun: Option<Time>,
    reader: RequestReader,
    slots: VecDeque<Slot>,
}

impl Daemon {
    /// The limits on callers in force.
    pub(crate) fn limits(&self) -> ClientLimits {
        self.config
            .as_ref()
            .map_or_else(ClientLimits::default, |config| config.limits)
    }

    /// A new caller's connection; `None` where there are too many.
    pub(crate) fn new_caller(&mut self, now: Time) -> Option<Kind> {
        let usable = self
            .settings
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS);
        if self.callers as f64 >= f64::from(usable) * CALLER_PART {
            let fields = json!({"reason": "too many callers' connections", "open": self.callers});
            self.tell(now, event::ACCEPT_FAILED, fields);
            return None;
        }
        let limits = self.limits();
        Some(Kind::Caller(Caller {
            closing: false,
            begun: None,
            reader: RequestReader::new(Limits {
                body: limits.body,
                head: limits.head,
            }),
            slots: VecDeque::new(),
        }))
    }

    pub(crate) fn caller_read(
        &mut self,
        now: Time,
        place: usize,
        bytes: &[u8],
        ending: Option<Ending>,
    ) {
        if let Some(caller) = self.caller(place)
            && !caller.closing
        {
            caller.reader.push(bytes);
            self.take_requests(now, place);
        }
        if ending.is_some() {
            self.caller_gone(now, place);
            return;
        }
        self.caller_wait(now, place);
    }

    /// Closes a connection that waited too long: for the rest of a request, or for the next one.
    pub(crate) fn caller_due(&mut self, now: Time, place: usize) {
        let limits = self.limits();
        let Some(caller) = self.caller(place) else {
            return;
        };
        if !caller.slots.is_empty() {
            self.caller_wait(now, place);
            return;
        }
        if caller.begun.is_some() {
            caller.closing = true;
            let answer = final_answer(408, "the request did not arrive in time", None, None);
            self.own_answer(now, place, answer, true);
            return;
        }
        let idle = self.conns.get(place).map(|conn| conn.channel.idle(now));
        if idle.is_some_and(|idle| idle >= limits.idle) {
            self.linger(place, now);
        } else {
            self.caller_wait(now, place);
        }
    }

    /// Puts an answer in its place and sends all that are ready.
    pub(crate) fn answer_caller(
        &mut self,
        now: Time,
        ticket: &Ticket,
        id: CallId,
        mut response: Response,
    ) {
        let place = ticket.place;
        let same = self
            .conns
            .get(place)
            .is_some_and(|conn| conn.serial == ticket.serial);
        if !same {
            return;
        }
        let Some(caller) = self.caller(place) else {
            return;
        };
        let Some(slot) = caller.slots.iter_mut().find(|slot| slot.call == Some(id)) else {
            return;
        };
        response.last = slot.last;
        let mut out = Vec::with_capacity(512 + response.body.len());
        response.encode(&mut out, ticket.head);
        slot.answer = Some(out);
        self.send_answers(now, place);
    }

    /// Ends idle connections of callers; on others, the last request read so far is the last.
    pub(crate) fn close_callers(&mut self, now: Time, idle_too: bool) {
        let places: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, conn)| matches!(conn.kind, Kind::Caller(_)))
            .map(|(place, _)| place)
            .collect();
        for place in places {
            let Some(caller) = self.caller(place) else {
                continue;
            };
            if let Some(slot) = caller.slots.back_mut() {
                if slot.answer.is_none() {
                    slot.last = true;
                    caller.closing = true;
                }
            } else if idle_too && caller.begun.is_none() {
                self.linger(place, now);
            }
        }
    }

    fn caller(&mut self, place: usize) -> Option<&mut Caller> {
        match &mut self.conns.get_mut(place)?.kind {
            Kind::Caller(caller) => Some(caller),
            _ => None,
        }
    }

    fn take_requests(&mut self, now: Time, place: usize) {
        loop {
            let Some(caller) = self.caller(place) else {
                return;
            };
            if caller.closing {
                return;
            }
            match caller.reader.take() {
                Ok(Some(request)) => {
                    caller.begun = None;
                    self.take_request(now, place, request);
                }
                Ok(None) => {
                    let begun = caller.reader.begun();
                    caller.begun = begun.then(|| caller.begun.unwrap_or(now));
                    if caller.slots.is_empty() && caller.reader.continue_due() {
                        // A failure shows when the connection is next read.
                        let _ = self.write(place, CONTINUE, now);
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
        self.tell(now, event::REQUEST_BAD, fields);
        let answer = final_answer(error.status(), &error.to_string(), None, None);
        self.own_answer(now, place, answer, true);
    }

    fn take_request(&mut self, now: Time, place: usize, request: Request) {
        self.metrics.requests.inc();
        let last = request.last() || self.stage == Stage::Leaving;
        if last && let Some(caller) = self.caller(place) {
            caller.closing = true;
        }
        let head = match platform::read_client(&request) {
            Ok(head) => head,
            Err(error) => {
                let fields = json!({"status": 400, "reason": error.to_string()});
                self.tell(now, event::REQUEST_BAD, fields);
                let answer = final_answer(400, &error.to_string(), None, None);
                self.own_answer(now, place, answer, last);
                return;
            }
        };
        let route = match self.route(now, &head.host, request.path()) {
            Ok(route) => route,
            Err((status, reason)) => {
                let retry = (status == 503).then_some(COME_BACK);
                let fields = json!({
                    "request": head.id,
                    "status": status,
                    "reason": reason,
                    "config": self.config.as_ref().map(|config| config.version),
                    "age_ms": self.roster.age(now, &self.own()).as_millis(),
                });
                self.tell(now, event::REQUEST_BAD, fields);
                let answer = final_answer(status, reason, Some(&head.id), retry);
                self.own_answer(now, place, answer, last);
                return;
            }
        };
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
        let begin = Begin {
            call: id,
            deadline: head.deadline,
            route,
        };
        self.decide(now, Event::Begin(begin));
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

    /// Queues an answer that no worker gave.
    fn own_answer(&mut self, now: Time, place: usize, mut response: Response, last: bool) {
        self.metrics.own_answers(response.status);
        response.last = last;
        let mut out = Vec::new();
        response.encode(&mut out, false);
        if let Some(caller) = self.caller(place) {
            caller.slots.push_back(Slot {
                answer: Some(out),
                call: None,
                last,
            });
        }
        self.send_answers(now, place);
    }

    fn send_answers(&mut self, now: Time, place: usize) {
        loop {
            let Some(caller) = self.caller(place) else {
                return;
            };
            let Some(bytes) = caller.slots.front_mut().and_then(|slot| slot.answer.take()) else {
                break;
            };
            let last = caller.slots.pop_front().is_some_and(|slot| slot.last);
            // A failure shows when the connection is next read.
            let _ = self.write(place, &bytes, now);
            if last {
                self.linger(place, now);
                return;
            }
        }
        self.caller_wait(now, place);
    }

    /// Sets when the connection has waited too long.
    fn caller_wait(&mut self, now: Time, place: usize) {
        let limits = self.limits();
        let Some(caller) = self.caller(place) else {
            return;
        };
        let at = match caller.begun {
            Some(begun) => begun + limits.head_time,
            None => now + limits.idle,
        };
        let known = self.conns.get(place).and_then(|conn| conn.due);
        // A timer that fires early looks again; one that fires late would hold the connection.
        if known.is_none_or(|known| known > at) {
            self.set_due(place, at);
        }
    }

    fn caller_gone(&mut self, now: Time, place: usize) {
        let Some(caller) = self.caller(place) else {
            return;
        };
        let calls: Vec<CallId> = caller.slots.iter().filter_map(|slot| slot.call).collect();
        self.remove(place);
        for id in calls {
            if let Some(ticket) = self.calls.remove(&id) {
                let fields = json!({
                    "request": ticket.id,
                    "elapsed_ms": now.since(ticket.began).as_millis(),
                });
                self.tell(now, event::CALLER_GONE, fields);
                self.decide(now, Event::Gone(id));
            }
        }
    }

    /// Takes no further connections of callers.
    pub(crate) fn shut_callers(&mut self) {
        self.listeners.shut(Door::Callers);
    }
}
