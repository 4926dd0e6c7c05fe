//! Large responses, which are passed on to the caller while they arrive from the worker.

use {
    crate::{
        callers::{PendingResponse, ResponseProgress},
        conn::ConnKind,
        daemon::Daemon,
        log_event,
        requests::{ActiveRequest, error_response},
        worker_responses::classify,
        workers::WorkerPhase,
    },
    call::{
        AttemptEnding, AttemptReport, CallError, CallEvent, CallId, LinkId, PartialBody,
        PartialVerdict, Relay, RelayFailure,
    },
    forward::ForwardReply,
    platform::{ResponseHead, read_response_head},
    serde_json::json,
    unit::Time,
    wire::{BodyCoding, PartialResponse, Response, ResponseReader},
};

/// A response that is being passed on to its caller.
#[derive(Debug)]
pub(crate) struct RelayedResponse {
    /// The request.
    active: ActiveRequest,
    /// How many bytes of the body were passed on.
    bytes: usize,
    /// How the body is sent to the caller.
    coding: BodyCoding,
    relay: Relay,
    /// The key of the worker's connection in `Daemon::conns`.
    worker_key: usize,
}

impl Daemon {
    /// Decides what becomes of a response that is still arriving.
    pub(crate) fn judge_partial(&mut self, now: Time, conn_key: usize) {
        let Some(ConnKind::Worker(worker)) = self.conns.get(conn_key).map(|conn| &conn.kind) else {
            return;
        };
        let WorkerPhase::Sent { call, id, link, .. } = &worker.phase else {
            return;
        };
        let Some(partial) = worker.reader.partial() else {
            return;
        };
        let (call, link) = (*call, *link);
        let head = read_response_head(partial.head);
        let ending = match &head.id {
            Some(other) if **other != **id => None,
            Some(_) => Some(classify(&head, partial.head)),
            None => Some(AttemptEnding::InvalidResponse),
        };
        let body = partial_body(&partial);
        match PartialVerdict::new(ending, body, || self.buffered_bytes()) {
            PartialVerdict::End => {
                let response = Response {
                    closes_connection: true,
                    ..partial.head.clone()
                };
                self.attempt_responded(now, conn_key, link, &head, response);
            }
            PartialVerdict::Keep => {}
            PartialVerdict::PassOn => {
                self.record_transfer(link, body.length.unwrap_or(body.buffered));
                self.relay_begins(now, conn_key, call, link, &head);
            }
            PartialVerdict::Reject => {
                self.worker_failed(now, conn_key, AttemptEnding::InvalidResponse);
            }
            PartialVerdict::Skip => {
                if let Some(worker) = self.worker_conn(conn_key) {
                    worker.reader.take_body();
                }
            }
        }
    }

    /// Reports an attempt as served whose response is passed on from now.
    fn relay_begins(
        &mut self,
        now: Time,
        conn_key: usize,
        call: CallId,
        link: LinkId,
        head: &ResponseHead,
    ) {
        if let Some(worker) = self.worker_conn(conn_key) {
            worker.phase = WorkerPhase::Relaying(call);
        }
        let report = AttemptReport {
            ending: AttemptEnding::Served,
            load: head.load,
            notice: Some(head.notice),
        };
        self.dispatch(now, CallEvent::AttemptEnded(link, report));
        if !self.relays.contains_key(&call) {
            // The request has ended meanwhile.
            self.close_worker(conn_key);
        }
    }

    /// The reader of a connection on which a worker's response arrives, from it or from a helper.
    fn response_reader(&mut self, conn_key: usize) -> Option<&mut ResponseReader> {
        match &mut self.conns.get_mut(conn_key)?.kind {
            ConnKind::Forward(conn) => Some(&mut conn.reader),
            ConnKind::Worker(worker) => Some(&mut worker.reader),
            _ => None,
        }
    }

    /// Begins to pass on the response on a worker's connection, as the dispatcher decided.
    pub(crate) fn start_relay(
        &mut self,
        now: Time,
        call: CallId,
        mut active: ActiveRequest,
        worker_key: usize,
    ) {
        // The request isn't sent again.
        active.request.body = Vec::new();
        let relay = Relay::new(active.deadline, now);
        let next_check = relay.next_check();
        let prefix = self.reply_prefix(active.conn_key, ForwardReply::Response(active.run));
        let Some(reader) = self.response_reader(worker_key) else {
            return;
        };
        let Some(partial) = reader.partial() else {
            return;
        };
        let coding = partial
            .length
            .map_or(BodyCoding::Chunked, BodyCoding::Sized);
        let mut head = partial.head.clone();
        let body = reader.take_body();
        let Some(pending) = self.pending_response(&active, call) else {
            self.close_worker(worker_key);
            return;
        };
        head.closes_connection = pending.last;
        pending.bytes = prefix;
        head.encode_head(&mut pending.bytes, coding);
        pending.progress = ResponseProgress::Partial;
        let response = RelayedResponse {
            active,
            bytes: 0,
            coding,
            relay,
            worker_key,
        };
        self.relays.insert(call, response);
        self.set_timer(worker_key, next_check);
        self.relay_body(now, call, &body, false);
    }

    /// Passes on the next part of a body; `last` marks the end of the response.
    pub(crate) fn relay_body(&mut self, now: Time, call: CallId, part: &[u8], last: bool) {
        let Some(response) = self.relays.get_mut(&call) else {
            return;
        };
        response.bytes += part.len();
        let coding = response.coding;
        let conn_key = response.active.conn_key;
        let Some(pending) = self.caller_conn(conn_key).and_then(|caller| {
            let mut pipeline = caller.pipeline.iter_mut();
            pipeline.find(|pending| pending.call == Some(call))
        }) else {
            return;
        };
        coding.encode_part(&mut pending.bytes, part);
        if last {
            coding.encode_end(&mut pending.bytes);
            pending.progress = ResponseProgress::Complete;
            self.finish_relay(now, call);
        }
        self.send_responses(now, conn_key);
        self.update_relay(now, call);
    }

    /// Resumes the reading of the response at the front of a caller's pipeline once the caller has
    /// taken enough of it.
    pub(crate) fn resume_relay(&mut self, now: Time, conn_key: usize) {
        let front = self.caller_conn(conn_key).and_then(|caller| {
            let front = caller.pipeline.front()?;
            front.call
        });
        let Some(call) = front else {
            return;
        };
        let was_paused = self.is_relay_paused(call);
        self.update_relay(now, call);
        if was_paused
            && !self.is_relay_paused(call)
            && let Some(response) = self.relays.get(&call)
        {
            let worker_key = response.worker_key;
            self.read_conn(now, worker_key);
        }
    }

    /// Handles the timer of a worker's connection whose response is passed on.
    pub(crate) fn relay_timeout(&mut self, now: Time, call: CallId) {
        let Some(response) = self.relays.get(&call) else {
            return;
        };
        let (worker_key, next_check) = (response.worker_key, response.relay.next_check());
        match response.relay.failure(now) {
            Some(RelayFailure::CallerStalled) => {
                self.break_relay(now, call, "the caller takes no bytes");
            }
            Some(RelayFailure::WorkerLate) => {
                self.break_relay(now, call, "the worker has not finished in time");
            }
            None => self.set_timer(worker_key, next_check),
        }
    }

    /// Ends a response that can't be completed: the caller's connection closes short of its end,
    /// or, if no byte of it was sent yet, the caller gets an error response.
    pub(crate) fn break_relay(&mut self, now: Time, call: CallId, reason: &str) {
        let Some(response) = self.relays.remove(&call) else {
            return;
        };
        self.close_worker(response.worker_key);
        let active = response.active;
        let fields = json!({
            "request": active.id,
            "elapsed_ms": now.since(active.started).as_millis(),
            "bytes": response.bytes,
            "reason": reason,
        });
        self.log_event(now, log_event::RELAY_BROKEN, fields);
        self.metrics.relays_broken.inc();
        let is_front = self.caller_conn(active.conn_key).is_some_and(|caller| {
            let front = caller.pipeline.front();
            front.is_some_and(|pending| pending.call == Some(call))
        });
        if is_front {
            self.cut_caller(now, active.conn_key);
        } else {
            if self.reply_to_peer(now, &active, call, CallError::Lost) {
                return;
            }
            let error = error_response(CallError::Lost, &active.id);
            self.metrics.count_own_response(error.status);
            self.respond_to_caller(now, &active, call, error);
        }
    }

    /// Drops the response to a caller that is gone.
    pub(crate) fn abandon_relay(&mut self, call: CallId) -> Option<ActiveRequest> {
        let response = self.relays.remove(&call)?;
        self.close_worker(response.worker_key);
        Some(response.active)
    }

    /// Logs that a response was passed on completely.
    fn finish_relay(&mut self, now: Time, call: CallId) {
        let Some(response) = self.relays.remove(&call) else {
            return;
        };
        let fields = json!({
            "request": response.active.id,
            "elapsed_ms": now.since(response.active.started).as_millis(),
            "bytes": response.bytes,
        });
        self.log_event(now, log_event::RELAYED, fields);
    }

    /// Tells a relay how much its caller has yet to take.
    fn update_relay(&mut self, now: Time, call: CallId) {
        let Some(response) = self.relays.get(&call) else {
            return;
        };
        let (conn_key, worker_key) = (response.active.conn_key, response.worker_key);
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        let ConnKind::Caller(caller) = &conn.kind else {
            return;
        };
        let waiting: usize = caller
            .pipeline
            .iter()
            .filter(|pending| pending.call == Some(call))
            .map(|pending| pending.bytes.len())
            .sum();
        let unsent = waiting + conn.channel.unsent_len();
        let Some(response) = self.relays.get_mut(&call) else {
            return;
        };
        response.relay.record_progress(now, unsent);
        let next_check = response.relay.next_check();
        // A timer that fires too early is set again.
        let timer = self.conns.get(worker_key).and_then(|conn| conn.timer);
        if timer.is_none_or(|at| at > next_check) {
            self.set_timer(worker_key, next_check);
        }
    }

    /// Whether a response is not to be read further for now, since its caller is slow.
    pub(crate) fn is_relay_paused(&self, call: CallId) -> bool {
        let response = self.relays.get(&call);
        response.is_some_and(|response| response.relay.is_paused())
    }

    /// How many bytes of responses are in memory: those that are still arriving, and those that
    /// callers have yet to take.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let of_conn = |conn: &crate::conn::Conn| match &conn.kind {
            ConnKind::Forward(conn) => conn.reader.partial().map_or(0, |part| part.buffered),
            ConnKind::Worker(worker) => worker.reader.partial().map_or(0, |part| part.buffered),
            ConnKind::Caller(caller) => {
                let waiting = caller.pipeline.iter().map(PendingResponse::len);
                waiting.sum::<usize>() + conn.channel.unsent_len()
            }
            ConnKind::Lingering(_) => conn.channel.unsent_len(),
            _ => 0,
        };
        self.conns.iter().map(|(_, conn)| of_conn(conn)).sum()
    }
}

/// What has arrived of a response's body.
pub(crate) fn partial_body(partial: &PartialResponse<'_>) -> PartialBody {
    PartialBody {
        arrived: partial.arrived,
        buffered: partial.buffered,
        length: partial.length,
    }
}
