//! Connections of callers.

use {
    crate::{
        conn::ConnKind,
        constants::{CALLER_FD_FRACTION, RESERVED_FDS},
        daemon::Daemon,
        listeners::ListenerKind,
        log_event,
        requests::ActiveRequest,
    },
    call::{CallEvent, CallId},
    platform::problem_response,
    serde_json::json,
    site::CallerLimits,
    std::collections::VecDeque,
    unit::Time,
    wire::{ConnectionEnd, Limits, RequestReader, Response},
};

/// A response that has not been sent to the caller yet.
#[derive(Debug)]
pub(crate) struct PendingResponse {
    /// The encoded response; `None` until there is one.
    pub(crate) bytes: Option<Vec<u8>>,
    /// The request; `None` if it is answered without a worker.
    pub(crate) call: Option<CallId>,
    /// Whether the connection closes after the response.
    pub(crate) last: bool,
}

/// A caller's connection. Pipelined requests are processed concurrently and answered in their
/// order.
#[derive(Debug)]
pub(crate) struct CallerConn {
    /// Whether no further requests are read.
    pub(crate) closing: bool,
    /// When the first bytes of an incomplete request arrived; `None` if there are none.
    pub(crate) partial_since: Option<Time>,
    pub(crate) reader: RequestReader,
    /// The responses that are not sent yet, in the order of their requests.
    pub(crate) pipeline: VecDeque<PendingResponse>,
}

impl Daemon {
    /// The limits on callers that are in force.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.config
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits)
    }

    /// The state of a new caller's connection; `None`, with a log line, if too many are open.
    pub(crate) fn new_caller(&mut self, now: Time) -> Option<ConnKind> {
        let usable = self.settings.max_fds.saturating_sub(RESERVED_FDS);
        if self.caller_count as f64 >= f64::from(usable) * CALLER_FD_FRACTION {
            let fields =
                json!({"reason": "too many callers' connections", "open": self.caller_count});
            self.log_event(now, log_event::ACCEPT_FAILED, fields);
            return None;
        }
        let limits = self.caller_limits();
        Some(ConnKind::Caller(CallerConn {
            closing: false,
            partial_since: None,
            reader: RequestReader::new(Limits {
                body_bytes: limits.body_bytes,
                head_bytes: limits.head_bytes,
            }),
            pipeline: VecDeque::new(),
        }))
    }

    /// Handles bytes that arrived on a caller's connection, and its end.
    pub(crate) fn caller_read(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        if let Some(caller) = self.caller_conn(conn_key)
            && !caller.closing
        {
            caller.reader.push(bytes);
            self.read_requests(now, conn_key);
        }
        if ending.is_some() {
            self.caller_closed(now, conn_key);
            return;
        }
        self.update_caller_timer(now, conn_key);
    }

    /// Handles a caller's timer. Closes the connection, after status 408 if a request has arrived
    /// only in part, or without a response once the connection was idle for the idle timeout; else
    /// sets the timer again.
    pub(crate) fn caller_timeout(&mut self, now: Time, conn_key: usize) {
        let limits = self.caller_limits();
        let Some(caller) = self.caller_conn(conn_key) else {
            return;
        };
        if !caller.pipeline.is_empty() {
            self.update_caller_timer(now, conn_key);
            return;
        }
        if caller.partial_since.is_some() {
            caller.closing = true;
            let response = problem_response(408, "the request did not arrive in time", None, None);
            self.send_own_response(now, conn_key, response, true);
            return;
        }
        let idle = self.conns.get(conn_key).map(|conn| conn.channel.idle(now));
        if idle.is_some_and(|idle| idle >= limits.idle_timeout) {
            self.linger(conn_key, now);
        } else {
            self.update_caller_timer(now, conn_key);
        }
    }

    /// Puts a response in its place in the pipeline and sends all that are now at the front. Does
    /// nothing if the caller's connection is gone.
    pub(crate) fn respond_to_caller(
        &mut self,
        now: Time,
        active: &ActiveRequest,
        id: CallId,
        mut response: Response,
    ) {
        let conn_key = active.conn_key;
        let same = self
            .conns
            .get(conn_key)
            .is_some_and(|conn| conn.serial == active.conn_serial);
        if !same {
            return;
        }
        let Some(caller) = self.caller_conn(conn_key) else {
            return;
        };
        let Some(pending) = caller
            .pipeline
            .iter_mut()
            .find(|pending| pending.call == Some(id))
        else {
            return;
        };
        response.closes_connection = pending.last;
        let mut out = Vec::with_capacity(512 + response.body.len());
        response.encode(&mut out, active.is_head);
        pending.bytes = Some(out);
        self.send_responses(now, conn_key);
    }

    /// Reads no further requests on connections whose newest request is in flight; they close after
    /// its response. With `idle_too`, also closes connections on which no response is due and no
    /// request has begun to arrive.
    pub(crate) fn close_callers(&mut self, now: Time, idle_too: bool) {
        let conn_keys: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, conn)| matches!(conn.kind, ConnKind::Caller(_)))
            .map(|(conn_key, _)| conn_key)
            .collect();
        for conn_key in conn_keys {
            let Some(caller) = self.caller_conn(conn_key) else {
                continue;
            };
            if let Some(pending) = caller.pipeline.back_mut() {
                if pending.bytes.is_none() {
                    pending.last = true;
                    caller.closing = true;
                }
            } else if idle_too && caller.partial_since.is_none() {
                self.linger(conn_key, now);
            }
        }
    }

    /// The caller state of a connection; `None` if it is gone or not a caller's.
    pub(crate) fn caller_conn(&mut self, conn_key: usize) -> Option<&mut CallerConn> {
        match &mut self.conns.get_mut(conn_key)?.kind {
            ConnKind::Caller(caller) => Some(caller),
            _ => None,
        }
    }

    /// Sends a response of the daemon's own, after the responses to earlier requests.
    pub(crate) fn send_own_response(
        &mut self,
        now: Time,
        conn_key: usize,
        mut response: Response,
        last: bool,
    ) {
        self.metrics.count_own_response(response.status);
        response.closes_connection = last;
        let mut out = Vec::new();
        response.encode(&mut out, false);
        if let Some(caller) = self.caller_conn(conn_key) {
            caller.pipeline.push_back(PendingResponse {
                bytes: Some(out),
                call: None,
                last,
            });
        }
        self.send_responses(now, conn_key);
    }

    /// Sends the responses at the front of the pipeline, up to the first that is missing.
    fn send_responses(&mut self, now: Time, conn_key: usize) {
        loop {
            let Some(caller) = self.caller_conn(conn_key) else {
                return;
            };
            let Some(bytes) = caller
                .pipeline
                .front_mut()
                .and_then(|pending| pending.bytes.take())
            else {
                break;
            };
            let last = caller
                .pipeline
                .pop_front()
                .is_some_and(|pending| pending.last);
            // A failure is ignored here; the next read of the connection reports it.
            let _ = self.write_conn(conn_key, &bytes, now);
            if last {
                self.linger(conn_key, now);
                return;
            }
        }
        self.update_caller_timer(now, conn_key);
    }

    /// Sets the timer for the rest of a request, or for the next request.
    fn update_caller_timer(&mut self, now: Time, conn_key: usize) {
        let limits = self.caller_limits();
        let Some(caller) = self.caller_conn(conn_key) else {
            return;
        };
        let at = match caller.partial_since {
            Some(since) => since + limits.head_timeout,
            None => now + limits.idle_timeout,
        };
        let current = self.conns.get(conn_key).and_then(|conn| conn.timer);
        // Never moves the timer later: one that fires before the connection was idle for long
        // enough is set again, but one that fires too late would keep the connection open too long.
        if current.is_none_or(|current| current > at) {
            self.set_timer(conn_key, at);
        }
    }

    /// Handles that a caller's connection ended: cancels its requests in flight.
    fn caller_closed(&mut self, now: Time, conn_key: usize) {
        let Some(caller) = self.caller_conn(conn_key) else {
            return;
        };
        let calls: Vec<CallId> = caller
            .pipeline
            .iter()
            .filter_map(|pending| pending.call)
            .collect();
        self.remove_conn(conn_key);
        for id in calls {
            if let Some(active) = self.calls.remove(&id) {
                let fields = json!({
                    "request": active.id,
                    "elapsed_ms": now.since(active.started).as_millis(),
                });
                self.log_event(now, log_event::CALLER_GONE, fields);
                self.dispatch(now, CallEvent::CallerDisconnected(id));
            }
        }
    }

    /// Stops accepting connections from callers.
    pub(crate) fn stop_accepting(&mut self) {
        self.listeners.close(ListenerKind::Callers);
    }
}
