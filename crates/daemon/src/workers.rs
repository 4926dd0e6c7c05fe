//! Connections to workers. Each is used for one health probe or request at a time.

use {
    crate::{conn::ConnKind, constants::WORKER_IDLE_TIMEOUT, daemon::Daemon},
    call::{AttemptEnding, AttemptReport, CallEvent, CallId, LinkId, Liveness, ProbeFailure},
    pick::WorkerKey,
    platform::{encode_forwarded, health_probe},
    unit::{Name, Span, Time},
    wire::{ConnectionEnd, Response, ResponseReader},
};

/// How long an abandoned probe may still be answered before its connection is closed.
const ABANDONED_PROBE_TIMEOUT: Span = Span::secs(2);
/// A connection on which bytes were sent or received within this time is assumed to be still open
/// and gets a request without a probe first.
const MAX_UNPROBED_IDLE: Span = Span::secs(1);

/// The state of one use of a worker's connection, for a probe or a request or both.
#[derive(Debug)]
pub(crate) enum LinkState {
    /// A worker has responded; the response is kept until the dispatcher decides what to do with it.
    /// The worker is `None` if a helper got the response.
    Responded(Box<Response>, Option<WorkerKey>),
    /// The use is in progress on the connection with this key in `Daemon::conns`.
    Conn(usize),
}

/// What a connection to a worker is used for.
#[derive(Debug)]
pub(crate) enum WorkerPhase {
    /// The connection was begun only to learn whether the worker accepts it.
    Checking(LinkId),
    /// A health probe is in flight that the dispatcher no longer waits for.
    ProbeAbandoned,
    /// A health probe is in flight.
    Probing(LinkId),
    /// The probe was answered, or connecting was started without one; the connection is kept for
    /// the dispatcher to send a request on, release or close.
    Reserved(LinkId),
    /// The connection is in the pool.
    Idle,
    /// The response to this request is being passed on to its caller.
    Relaying(CallId),
    /// A request is in flight.
    Sent {
        call: CallId,
        /// Whether it is a HEAD request, whose response has no body.
        is_head: bool,
        /// The request's id.
        id: Name,
        link: LinkId,
        /// How many bytes had been sent on the connection before the request.
        sent_before: u64,
    },
}

/// A connection to a worker.
#[derive(Debug)]
pub(crate) struct WorkerConn {
    pub(crate) phase: WorkerPhase,
    pub(crate) reader: ResponseReader,
    /// Whether a response has arrived on the connection, so that the worker may close it as idle.
    pub(crate) reused: bool,
    /// The worker's key in the worker table.
    pub(crate) key: WorkerKey,
}

impl Daemon {
    /// Sends a health probe to a worker, on an idle connection if there is one.
    pub(crate) fn probe(&mut self, now: Time, link: LinkId, worker: WorkerKey) {
        let idle = self.pools.get_mut(&worker).and_then(|pool| pool.idle.pop());
        let conn_key = match idle {
            Some(conn_key) => Some(conn_key),
            None => self.open_worker(now, worker),
        };
        let Some(conn_key) = conn_key else {
            let failed = CallEvent::ProbeEnded(link, Err(ProbeFailure::NoConnection));
            self.call_events.push_back(failed);
            return;
        };
        self.metrics.probes.inc();
        self.start_probe(now, conn_key, link);
    }

    /// Sends a health probe to a worker on a new connection, to learn whether new ones are accepted.
    pub(crate) fn try_worker(&mut self, now: Time, link: LinkId, worker: WorkerKey) {
        match self.open_worker(now, worker) {
            Some(conn_key) => {
                self.metrics.probes.inc();
                self.start_probe(now, conn_key, link);
            }
            None => {
                let failed = CallEvent::ProbeEnded(link, Err(ProbeFailure::NoConnection));
                self.call_events.push_back(failed);
            }
        }
    }

    /// Reserves a connection without a probe: an idle one that was used within
    /// [`MAX_UNPROBED_IDLE`], or a new one.
    pub(crate) fn connect_link(&mut self, now: Time, link: LinkId, worker: WorkerKey) {
        let idle = self.pools.get_mut(&worker).and_then(|pool| pool.idle.pop());
        let fresh = idle.filter(|conn_key| {
            let conn = self.conns.get(*conn_key);
            conn.is_some_and(|conn| conn.channel.idle(now) < MAX_UNPROBED_IDLE)
        });
        if let Some(conn_key) = idle
            && fresh.is_none()
        {
            self.close_worker(conn_key);
        }
        let conn_key = fresh.or_else(|| self.open_worker(now, worker));
        let result = match conn_key {
            Some(conn_key) => {
                if let Some(conn) = self.worker_conn(conn_key) {
                    conn.phase = WorkerPhase::Reserved(link);
                }
                self.links.insert(link, LinkState::Conn(conn_key));
                Ok(())
            }
            None => Err(ProbeFailure::NoConnection),
        };
        self.call_events
            .push_back(CallEvent::ConnectEnded(link, result));
    }

    /// Sends a request on the connection that is reserved for it.
    pub(crate) fn send_request(&mut self, now: Time, call: CallId, link: LinkId, time_left: Span) {
        if self.try_send_request(now, call, link, time_left).is_none() {
            // The request, its worker or its connection was gone before any byte was sent.
            self.links.remove(&link);
            let report = AttemptReport::without_response(AttemptEnding::Unsent);
            self.call_events
                .push_back(CallEvent::AttemptEnded(link, report));
        }
    }

    /// Sends the request; `None` if the request, its reserved connection or its worker is gone.
    fn try_send_request(
        &mut self,
        now: Time,
        call: CallId,
        link: LinkId,
        time_left: Span,
    ) -> Option<()> {
        let Some(LinkState::Conn(conn_key)) = self.links.get(&link) else {
            return None;
        };
        let conn_key = *conn_key;
        let active = self.calls.get(&call)?;
        let account = self.account_header(active);
        let conn = self.conns.get_mut(conn_key)?;
        let ConnKind::Worker(worker) = &mut conn.kind else {
            return None;
        };
        let record = self.dispatcher.table.get(worker.key)?;
        let bytes = encode_forwarded(&active.request, &record.worker.id, account, time_left);
        worker.phase = WorkerPhase::Sent {
            call,
            is_head: active.is_head,
            id: active.id.clone(),
            link,
            sent_before: conn.channel.sent,
        };
        if conn.channel.write(&bytes, now).is_err() {
            self.worker_ended(now, conn_key, ConnectionEnd::Reset);
        }
        Some(())
    }

    /// Closes a connection, even with a probe or request in flight on it.
    pub(crate) fn close_link(&mut self, link: LinkId) {
        if let Some(LinkState::Conn(conn_key)) = self.links.remove(&link) {
            self.close_worker(conn_key);
        }
    }

    /// Stops waiting for a probe but keeps its connection open for the late response: a worker
    /// without free slots answers late on a new connection, which can then be used for the next
    /// probe.
    pub(crate) fn abandon_probe(&mut self, now: Time, link: LinkId) {
        let Some(LinkState::Conn(conn_key)) = self.links.remove(&link) else {
            return;
        };
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        match &mut conn.kind {
            ConnKind::Worker(worker)
                if conn.channel.connected && matches!(worker.phase, WorkerPhase::Probing(_)) =>
            {
                worker.phase = WorkerPhase::ProbeAbandoned;
                self.set_timer(conn_key, now + ABANDONED_PROBE_TIMEOUT);
            }
            _ => self.close_worker(conn_key),
        }
    }

    /// Returns a connection to the pool for other requests.
    pub(crate) fn release_link(&mut self, now: Time, link: LinkId) {
        if let Some(LinkState::Conn(conn_key)) = self.links.remove(&link) {
            self.release_worker(now, conn_key);
        }
    }

    /// Handles bytes that arrived on a connection to a worker, and its end.
    pub(crate) fn worker_read(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        if let Some(worker) = self.worker_conn(conn_key) {
            worker.reader.push(bytes);
        }
        self.read_responses(now, conn_key);
        if let Some(ending) = ending
            && self.worker_conn(conn_key).is_some()
        {
            self.worker_ended(now, conn_key, ending);
        }
    }

    /// Handles a worker connection's timer: closes the connection if it has been idle for
    /// [`WORKER_IDLE_TIMEOUT`] or its abandoned probe was not answered in time, else sets the timer
    /// again.
    pub(crate) fn worker_timeout(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        let ConnKind::Worker(worker) = &conn.kind else {
            return;
        };
        if let WorkerPhase::Relaying(call) = worker.phase {
            self.relay_timeout(now, call);
            return;
        }
        let left = WORKER_IDLE_TIMEOUT.saturating_sub(conn.channel.idle(now));
        let close = match worker.phase {
            WorkerPhase::Checking(link) => {
                self.end_check(now, conn_key, link, Liveness::Down);
                return;
            }
            WorkerPhase::ProbeAbandoned => true,
            WorkerPhase::Idle => left == Span::ZERO,
            WorkerPhase::Probing(_)
            | WorkerPhase::Relaying(_)
            | WorkerPhase::Reserved(_)
            | WorkerPhase::Sent { .. } => false,
        };
        if close {
            self.close_worker(conn_key);
        } else {
            self.set_timer(conn_key, now + left.max(Span::secs(1)));
        }
    }

    /// The worker state of a connection; `None` if it is gone or not a worker's.
    pub(crate) fn worker_conn(&mut self, conn_key: usize) -> Option<&mut WorkerConn> {
        match &mut self.conns.get_mut(conn_key)?.kind {
            ConnKind::Worker(worker) => Some(worker),
            _ => None,
        }
    }

    /// Sends a health probe on a connection.
    pub(crate) fn start_probe(&mut self, now: Time, conn_key: usize, link: LinkId) {
        let Some(request) = self.encode_probe(conn_key) else {
            let failed = CallEvent::ProbeEnded(link, Err(ProbeFailure::NoConnection));
            self.call_events.push_back(failed);
            return;
        };
        self.links.insert(link, LinkState::Conn(conn_key));
        if let Some(worker) = self.worker_conn(conn_key) {
            worker.phase = WorkerPhase::Probing(link);
        }
        if self.write_conn(conn_key, &request, now).is_err() {
            self.worker_ended(now, conn_key, ConnectionEnd::Reset);
        }
    }

    /// The bytes of a health probe; `None` if the worker or its service is no longer known.
    fn encode_probe(&mut self, conn_key: usize) -> Option<Vec<u8>> {
        let key = self.worker_conn(conn_key)?.key;
        let record = self.dispatcher.table.get(key)?;
        let service = self.config.as_ref()?.services.get(&record.worker.service)?;
        let host = record.worker.address.to_string();
        let mut out = Vec::with_capacity(128);
        health_probe(&service.health_path, &host).encode(&mut out);
        Some(out)
    }
}
