//! Connections of callers.

use {
    crate::{
        conn::ConnKind,
        constants::{CALLER_FD_FRACTION, RESERVED_FDS},
        daemon::Daemon,
        log_event,
        requests::ActiveRequest,
    },
    call::CallId,
    forward::{ForwardExtended, ForwardReply},
    platform::problem_response,
    serde_json::json,
    site::CallerLimits,
    std::collections::VecDeque,
    unit::Time,
    wire::{ConnectionEnd, Limits, RequestReader, Response},
};

/// What a request says about the form of its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseForm {
    /// Whether this is a HEAD request, whose response has no body.
    pub(crate) is_head: bool,
    /// Whether the connection closes after the response.
    pub(crate) last: bool,
}

impl ResponseForm {
    /// The form of the last response on a connection.
    pub(crate) const LAST: Self = Self {
        is_head: false,
        last: true,
    };
}

/// How much of a response has been encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseProgress {
    /// Nothing: there is no response yet.
    Awaited,
    /// The whole response.
    Complete,
    /// The head and what has arrived of the body.
    Partial,
}

/// A response that has not been sent completely to the caller yet.
#[derive(Debug)]
pub(crate) struct PendingResponse {
    /// What is encoded and not passed to the connection yet.
    pub(crate) bytes: Vec<u8>,
    /// The request; `None` if it is answered without a worker.
    pub(crate) call: Option<CallId>,
    /// Whether the connection closes after the response.
    pub(crate) last: bool,
    pub(crate) progress: ResponseProgress,
}

impl PendingResponse {
    /// The place of a response that is still to come.
    pub(crate) fn awaited(call: CallId, last: bool) -> Self {
        Self {
            bytes: Vec::new(),
            call: Some(call),
            last,
            progress: ResponseProgress::Awaited,
        }
    }

    /// How many encoded bytes wait for their turn.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }
}

/// A caller's connection. Pipelined requests are processed concurrently and answered in their
/// order.
#[derive(Debug)]
pub(crate) struct CallerConn {
    /// Whether no further requests are read.
    pub(crate) closing: bool,
    /// What another daemon said of the request that it forwards; `None` on a caller's own
    /// connection.
    pub(crate) forwarded: Option<ForwardExtended>,
    /// Whether reading waits for memory that other requests' bodies take.
    pub(crate) awaits_memory: bool,
    /// When the first bytes arrived that are held because this daemon has just started.
    pub(crate) held_since: Option<Time>,
    /// When the first bytes of an incomplete head arrived, or the last ones of an incomplete body;
    /// `None` if there are none.
    pub(crate) partial_since: Option<Time>,
    /// Whether reading was put off until the caller has taken more of its responses.
    pub(crate) paused: bool,
    pub(crate) reader: RequestReader,
    /// The memory that is reserved for the request that is being read, in bytes.
    pub(crate) reserved: usize,
    /// The responses that are not sent yet, in the order of their requests.
    pub(crate) pipeline: VecDeque<PendingResponse>,
}

impl CallerConn {
    /// How many requests have no complete response yet.
    pub(crate) fn unanswered(&self) -> usize {
        let pending = self.pipeline.iter();
        pending
            .filter(|pending| pending.progress == ResponseProgress::Awaited)
            .count()
    }

    /// Whether a request has begun to arrive and isn't read whole, or isn't handled yet.
    pub(crate) fn has_partial_request(&self) -> bool {
        self.partial_since.is_some() || self.held_since.is_some()
    }
}

impl Daemon {
    /// The limits on callers that are in force.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.config
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits)
    }

    /// The limits on the sizes of requests that are in force.
    pub(crate) fn size_limits(&self) -> Limits {
        let limits = self.caller_limits();
        Limits {
            body_bytes: limits.body_bytes,
            head_bytes: limits.head_bytes,
        }
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
        Some(self.new_caller_conn(None))
    }

    /// The state of a new connection of a caller, or of another daemon that forwards a request.
    pub(crate) fn new_caller_conn(&self, forwarded: Option<ForwardExtended>) -> ConnKind {
        ConnKind::Caller(CallerConn {
            awaits_memory: false,
            closing: false,
            forwarded,
            held_since: None,
            partial_since: None,
            paused: false,
            reader: RequestReader::new(self.size_limits()),
            reserved: 0,
            pipeline: VecDeque::new(),
        })
    }

    /// Handles bytes that arrived on a caller's connection, and its end.
    pub(crate) fn caller_read(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        if ending.is_some() {
            // Requests that came with the end of the connection are not begun.
            self.caller_closed(now, conn_key);
            return;
        }
        if let Some(caller) = self.caller_conn(conn_key)
            && !caller.closing
        {
            caller.reader.push(bytes);
            self.read_requests(now, conn_key);
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
        if caller.awaits_memory {
            // The caller isn't late: it is this daemon that doesn't read.
            caller.partial_since = Some(now);
            self.update_caller_timer(now, conn_key);
            return;
        }
        let late = |since: Time| now.since(since) >= limits.head_timeout;
        if caller.partial_since.is_some_and(late) {
            caller.closing = true;
            let response = problem_response(408, "the request did not arrive in time", None, None);
            self.send_own_response(now, conn_key, response, ResponseForm::LAST);
            return;
        }
        let partial = caller.partial_since.is_some();
        let idle = self.conns.get(conn_key).map(|conn| conn.channel.idle(now));
        if !partial && idle.is_some_and(|idle| idle >= limits.idle_timeout) {
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
        let mut out = self.reply_prefix(active.conn_key, ForwardReply::Response(active.run));
        let Some(pending) = self.pending_response(active, id) else {
            return;
        };
        response.closes_connection = pending.last;
        out.reserve(512 + response.body.len());
        response.encode(&mut out, active.is_head);
        pending.bytes = out;
        pending.progress = ResponseProgress::Complete;
        self.send_responses(now, active.conn_key);
    }

    /// The place of a request's response; `None` if the caller's connection is gone.
    pub(crate) fn pending_response(
        &mut self,
        active: &ActiveRequest,
        id: CallId,
    ) -> Option<&mut PendingResponse> {
        let conn = self.conns.get_mut(active.conn_key)?;
        let ConnKind::Caller(caller) = &mut conn.kind else {
            return None;
        };
        let same = conn.serial == active.conn_serial;
        let mut pipeline = caller.pipeline.iter_mut();
        pipeline.find(|pending| same && pending.call == Some(id))
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
        form: ResponseForm,
    ) {
        if self.forwarded(conn_key).is_some() {
            self.decline_forwarded(now, conn_key);
            return;
        }
        self.metrics.count_own_response(response.status);
        response.closes_connection = form.last;
        let mut out = Vec::new();
        response.encode(&mut out, form.is_head);
        if let Some(caller) = self.caller_conn(conn_key) {
            caller.pipeline.push_back(PendingResponse {
                bytes: out,
                call: None,
                last: form.last,
                progress: ResponseProgress::Complete,
            });
        }
        self.send_responses(now, conn_key);
    }

    /// Sends the responses at the front of the pipeline, up to the first that is not complete.
    pub(crate) fn send_responses(&mut self, now: Time, conn_key: usize) {
        loop {
            let Some(caller) = self.caller_conn(conn_key) else {
                return;
            };
            let Some(front) = caller.pipeline.front_mut() else {
                break;
            };
            let bytes = std::mem::take(&mut front.bytes);
            let (last, progress) = (front.last, front.progress);
            if progress == ResponseProgress::Complete {
                caller.pipeline.pop_front();
            }
            // A failure is ignored here; the next read of the connection reports it.
            let _ = self.write_conn(conn_key, &bytes, now);
            if progress != ResponseProgress::Complete {
                break;
            }
            if last {
                self.linger(conn_key, now);
                return;
            }
        }
        self.update_caller_timer(now, conn_key);
        self.resume_relay(now, conn_key);
        self.resume_caller(conn_key);
    }

    /// Sets the timer for the rest of a request, or for the next request. While responses are due, no
    /// request is late: each response sets the timer again.
    fn update_caller_timer(&mut self, now: Time, conn_key: usize) {
        let limits = self.caller_limits();
        let Some(caller) = self.caller_conn(conn_key) else {
            return;
        };
        let at = match caller.partial_since {
            Some(since) if caller.pipeline.is_empty() => since + limits.head_timeout,
            _ => now + limits.idle_timeout,
        };
        let current = self.conns.get(conn_key).and_then(|conn| conn.timer);
        // Never moves the timer later: one that fires before the connection was idle for long
        // enough is set again, but one that fires too late would keep the connection open too long.
        if current.is_none_or(|current| current > at) {
            self.set_timer(conn_key, at);
        }
    }
}
