//! Connections to workers. Each is used for one question or request at a time.

use {
    crate::{conn::ConnKind, daemon::Daemon, options::WORKER_IDLE},
    call::{AttemptEnding, AttemptReport, CallEvent, CallId, LinkId, ProbeFailure},
    pick::WorkerKey,
    platform::{encode_forwarded, health_request},
    unit::{Name, Span, Time},
    wire::{ConnectionEnd, Response, ResponseReader},
};

/// How long a question may be open that nobody waits for any more.
const ABANDONED: Span = Span::secs(2);
/// How long ago bytes may have gone over a connection that is used without a question first.
const SURELY_ALIVE: Span = Span::secs(1);

/// What a use of a connection has come to.
#[derive(Debug)]
pub(crate) enum Link {
    /// The worker's answer, until the desk says what becomes of it.
    Answered(Box<Response>),
    /// The connection's place.
    Conn(usize),
}

/// What a connection to a worker is used for.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The worker was asked, and nobody waits for the answer any more.
    Abandoned,
    /// The worker is asked for room.
    Asking(LinkId),
    /// The worker has told; the desk decides.
    Held(LinkId),
    Idle,
    /// A request is at the worker.
    Sent {
        /// Whether the answer comes without a body.
        head: bool,
        /// The request's id.
        id: Name,
        link: LinkId,
        /// Bytes sent on the connection before the request.
        start: u64,
    },
}

/// A connection to a worker.
#[derive(Debug)]
pub(crate) struct WorkerConn {
    pub(crate) phase: Phase,
    pub(crate) reader: ResponseReader,
    /// Whether an answer has come on it.
    pub(crate) reused: bool,
    pub(crate) worker: WorkerKey,
}

impl Daemon {
    /// Asks a worker for room, on a free connection where there is one.
    pub(crate) fn ask(&mut self, now: Time, link: LinkId, worker: WorkerKey) {
        let free = self.pools.get_mut(&worker).and_then(|pool| pool.idle.pop());
        let place = match free {
            Some(place) => Some(place),
            None => self.open_worker(now, worker),
        };
        let Some(place) = place else {
            let failed = CallEvent::ProbeEnded(link, Err(ProbeFailure::NoConnection));
            self.call_events.push_back(failed);
            return;
        };
        self.metrics.probes.inc();
        self.start_ask(now, place, link);
    }

    /// Has a connection ready: a free one that was used just now, or a new one.
    pub(crate) fn open(&mut self, now: Time, link: LinkId, worker: WorkerKey) {
        let free = self.pools.get_mut(&worker).and_then(|pool| pool.idle.pop());
        let fresh = free.filter(|place| {
            let conn = self.conns.get(*place);
            conn.is_some_and(|conn| conn.channel.idle(now) < SURELY_ALIVE)
        });
        if let Some(place) = free
            && fresh.is_none()
        {
            self.drop_worker(place);
        }
        let place = fresh.or_else(|| self.open_worker(now, worker));
        let result = match place {
            Some(place) => {
                if let Some(conn) = self.worker(place) {
                    conn.phase = Phase::Held(link);
                }
                self.links.insert(link, Link::Conn(place));
                Ok(())
            }
            None => Err(ProbeFailure::NoConnection),
        };
        self.call_events
            .push_back(CallEvent::ConnectEnded(link, result));
    }

    /// Sends a request on the connection on which its worker was asked.
    pub(crate) fn send(&mut self, now: Time, call: CallId, link: LinkId, left: Span) {
        if self.try_send(now, call, link, left).is_none() {
            // The connection ended before a byte of the request was sent on it.
            self.links.remove(&link);
            let told = AttemptReport {
                ending: AttemptEnding::Unsent,
                load: None,
            };
            self.call_events
                .push_back(CallEvent::AttemptEnded(link, told));
        }
    }

    fn try_send(&mut self, now: Time, call: CallId, link: LinkId, left: Span) -> Option<()> {
        let Some(Link::Conn(place)) = self.links.get(&link) else {
            return None;
        };
        let place = *place;
        let ticket = self.calls.get(&call)?;
        let conn = self.conns.get_mut(place)?;
        let ConnKind::Worker(worker) = &mut conn.kind else {
            return None;
        };
        let belief = self.dispatcher.table.get(worker.worker)?;
        let bytes = encode_forwarded(&ticket.request, &belief.worker.id, left);
        worker.phase = Phase::Sent {
            head: ticket.head,
            id: ticket.id.clone(),
            link,
            start: conn.channel.sent,
        };
        if conn.channel.write(&bytes, now).is_err() {
            self.worker_ended(now, place, ConnectionEnd::Reset);
        }
        Some(())
    }

    /// Closes a connection, whatever is under way on it.
    pub(crate) fn close_link(&mut self, link: LinkId) {
        if let Some(Link::Conn(place)) = self.links.remove(&link) {
            self.drop_worker(place);
        }
    }

    /// Leaves a connection to its question: a worker without room answers late on a new connection,
    /// which is then good for the next question.
    pub(crate) fn abandon_ask(&mut self, now: Time, link: LinkId) {
        let Some(Link::Conn(place)) = self.links.remove(&link) else {
            return;
        };
        let Some(conn) = self.conns.get_mut(place) else {
            return;
        };
        match &mut conn.kind {
            ConnKind::Worker(worker)
                if conn.channel.connected && matches!(worker.phase, Phase::Asking(_)) =>
            {
                worker.phase = Phase::Abandoned;
                self.set_timer(place, now + ABANDONED);
            }
            _ => self.drop_worker(place),
        }
    }

    /// Makes a connection free for other requests.
    pub(crate) fn release_link(&mut self, now: Time, link: LinkId) {
        if let Some(Link::Conn(place)) = self.links.remove(&link) {
            self.free_worker(now, place);
        }
    }

    pub(crate) fn worker_read(
        &mut self,
        now: Time,
        place: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        if let Some(worker) = self.worker(place) {
            worker.reader.push(bytes);
        }
        self.take_responses(now, place);
        if let Some(ending) = ending
            && self.worker(place).is_some()
        {
            self.worker_ended(now, place, ending);
        }
    }

    /// Closes a connection that was free for long.
    pub(crate) fn worker_timeout(&mut self, now: Time, place: usize) {
        let Some(conn) = self.conns.get(place) else {
            return;
        };
        let ConnKind::Worker(worker) = &conn.kind else {
            return;
        };
        let left = WORKER_IDLE.saturating_sub(conn.channel.idle(now));
        let useless = match worker.phase {
            Phase::Abandoned => true,
            Phase::Idle => left == Span::ZERO,
            Phase::Asking(_) | Phase::Held(_) | Phase::Sent { .. } => false,
        };
        if useless {
            self.drop_worker(place);
        } else {
            self.set_timer(place, now + left.max(Span::secs(1)));
        }
    }

    pub(crate) fn worker(&mut self, place: usize) -> Option<&mut WorkerConn> {
        match &mut self.conns.get_mut(place)?.kind {
            ConnKind::Worker(worker) => Some(worker),
            _ => None,
        }
    }

    pub(crate) fn start_ask(&mut self, now: Time, place: usize, link: LinkId) {
        let Some(request) = self.health_bytes(place) else {
            let failed = CallEvent::ProbeEnded(link, Err(ProbeFailure::NoConnection));
            self.call_events.push_back(failed);
            return;
        };
        self.links.insert(link, Link::Conn(place));
        if let Some(worker) = self.worker(place) {
            worker.phase = Phase::Asking(link);
        }
        if self.write_conn(place, &request, now).is_err() {
            self.worker_ended(now, place, ConnectionEnd::Reset);
        }
    }

    fn health_bytes(&mut self, place: usize) -> Option<Vec<u8>> {
        let key = self.worker(place)?.worker;
        let belief = self.dispatcher.table.get(key)?;
        let service = self.config.as_ref()?.services.get(&belief.worker.service)?;
        let host = belief.worker.address.to_string();
        let mut out = Vec::with_capacity(128);
        health_request(&service.health_path, &host).encode(&mut out);
        Some(out)
    }
}
