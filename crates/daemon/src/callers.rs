//! Connections of callers.

use {
    crate::{
        conn::ConnKind,
        daemon::Daemon,
        event,
        listeners::Door,
        options::{CALLER_PART, RESERVED_DESCRIPTORS},
        requests::Ticket,
    },
    call::{CallEvent, CallId},
    platform::problem_response,
    serde_json::json,
    site::CallerLimits,
    std::collections::VecDeque,
    unit::Time,
    wire::{ConnectionEnd, Limits, RequestReader, Response},
};

/// A request whose answer is due on a connection.
#[derive(Debug)]
pub(crate) struct Slot {
    /// The answer as it goes out, once there is one.
    pub(crate) answer: Option<Vec<u8>>,
    /// The request; `None` where it is answered without a worker.
    pub(crate) call: Option<CallId>,
    /// Whether the connection ends after its answer.
    pub(crate) last: bool,
}

/// A caller's connection. Its requests are worked on at once and answered in their order.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Whether no further requests are read.
    pub(crate) closing: bool,
    /// When the first byte of a request arrived that isn't whole yet.
    pub(crate) begun: Option<Time>,
    pub(crate) reader: RequestReader,
    pub(crate) slots: VecDeque<Slot>,
}

impl Daemon {
    /// The limits on callers in force.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.config
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits)
    }

    /// A new caller's connection; `None` where there are too many.
    pub(crate) fn new_caller(&mut self, now: Time) -> Option<ConnKind> {
        let usable = self.settings.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
        if self.caller_count as f64 >= f64::from(usable) * CALLER_PART {
            let fields =
                json!({"reason": "too many callers' connections", "open": self.caller_count});
            self.log_event(now, event::ACCEPT_FAILED, fields);
            return None;
        }
        let limits = self.caller_limits();
        Some(ConnKind::Caller(Caller {
            closing: false,
            begun: None,
            reader: RequestReader::new(Limits {
                body_bytes: limits.body_bytes,
                head_bytes: limits.head_bytes,
            }),
            slots: VecDeque::new(),
        }))
    }

    pub(crate) fn caller_read(
        &mut self,
        now: Time,
        place: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
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
    pub(crate) fn caller_timeout(&mut self, now: Time, place: usize) {
        let limits = self.caller_limits();
        let Some(caller) = self.caller(place) else {
            return;
        };
        if !caller.slots.is_empty() {
            self.caller_wait(now, place);
            return;
        }
        if caller.begun.is_some() {
            caller.closing = true;
            let answer = problem_response(408, "the request did not arrive in time", None, None);
            self.own_answer(now, place, answer, true);
            return;
        }
        let idle = self.conns.get(place).map(|conn| conn.channel.idle(now));
        if idle.is_some_and(|idle| idle >= limits.idle_timeout) {
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
        response.closes_connection = slot.last;
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
            .filter(|(_, conn)| matches!(conn.kind, ConnKind::Caller(_)))
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

    pub(crate) fn caller(&mut self, place: usize) -> Option<&mut Caller> {
        match &mut self.conns.get_mut(place)?.kind {
            ConnKind::Caller(caller) => Some(caller),
            _ => None,
        }
    }

    /// Queues an answer that no worker gave.
    pub(crate) fn own_answer(
        &mut self,
        now: Time,
        place: usize,
        mut response: Response,
        last: bool,
    ) {
        self.metrics.own_answers(response.status);
        response.closes_connection = last;
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
            let _ = self.write_conn(place, &bytes, now);
            if last {
                self.linger(place, now);
                return;
            }
        }
        self.caller_wait(now, place);
    }

    /// Sets when the connection has waited too long.
    fn caller_wait(&mut self, now: Time, place: usize) {
        let limits = self.caller_limits();
        let Some(caller) = self.caller(place) else {
            return;
        };
        let at = match caller.begun {
            Some(begun) => begun + limits.head_timeout,
            None => now + limits.idle_timeout,
        };
        let known = self.conns.get(place).and_then(|conn| conn.timer);
        // A timer that fires early looks again; one that fires late would hold the connection.
        if known.is_none_or(|known| known > at) {
            self.set_timer(place, at);
        }
    }

    fn caller_gone(&mut self, now: Time, place: usize) {
        let Some(caller) = self.caller(place) else {
            return;
        };
        let calls: Vec<CallId> = caller.slots.iter().filter_map(|slot| slot.call).collect();
        self.remove_conn(place);
        for id in calls {
            if let Some(ticket) = self.calls.remove(&id) {
                let fields = json!({
                    "request": ticket.id,
                    "elapsed_ms": now.since(ticket.began).as_millis(),
                });
                self.log_event(now, event::CALLER_GONE, fields);
                self.dispatch(now, CallEvent::CallerDisconnected(id));
            }
        }
    }

    /// Takes no further connections of callers.
    pub(crate) fn stop_accepting(&mut self) {
        self.listeners.shut(Door::Callers);
    }
}
