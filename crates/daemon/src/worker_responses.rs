//! Responses on connections to workers, and the ends of such connections.

use {
    crate::{
        conn::ConnKind,
        daemon::Daemon,
        workers::{LinkState, WorkerPhase},
    },
    call::{AttemptEnding, AttemptReport, CallEvent, CallId, LinkId, Liveness, ProbeFailure},
    pick::WorkerRecord,
    platform::{ResponseHead, read_health, read_response_head},
    site::HealthReport,
    unit::Time,
    wire::{ConnectionEnd, Response},
};

/// The longest body of a response to a health probe, in bytes.
const MAX_PROBE_BODY_BYTES: usize = 16 << 10;

impl Daemon {
    /// Handles all complete responses that have arrived on a connection.
    pub(crate) fn read_responses(&mut self, now: Time, conn_key: usize) {
        while let Some(worker) = self.worker_conn(conn_key) {
            let is_head = matches!(worker.phase, WorkerPhase::Sent { is_head: true, .. });
            match worker.phase {
                WorkerPhase::Checking(_) | WorkerPhase::Idle | WorkerPhase::Reserved(_)
                    if !worker.reader.has_pending() =>
                {
                    return;
                }
                WorkerPhase::Checking(_) => {
                    self.worker_failed(now, conn_key, AttemptEnding::InvalidResponse);
                    return;
                }
                // These bytes answer no request, so no response on this connection can be trusted.
                WorkerPhase::Idle => {
                    self.close_worker(conn_key);
                    return;
                }
                WorkerPhase::Reserved(_) => {
                    self.replace_reserved(now, conn_key);
                    return;
                }
                WorkerPhase::ProbeAbandoned
                | WorkerPhase::Probing(_)
                | WorkerPhase::Relaying(_)
                | WorkerPhase::Sent { .. } => {}
            }
            match worker.reader.next_response(is_head) {
                Ok(Some(response)) => self.worker_response(now, conn_key, response),
                Ok(None) => {
                    self.read_partial(now, conn_key);
                    return;
                }
                Err(_) => {
                    self.worker_failed(now, conn_key, AttemptEnding::InvalidResponse);
                    return;
                }
            }
        }
    }

    /// Handles the part of a response that has arrived.
    fn read_partial(&mut self, now: Time, conn_key: usize) {
        let Some(worker) = self.worker_conn(conn_key) else {
            return;
        };
        match worker.phase {
            WorkerPhase::Relaying(call) => {
                let part = worker.reader.take_body();
                self.relay_body(now, call, &part, false);
            }
            WorkerPhase::Sent { .. } => {
                self.hear_refusal(now, conn_key);
                self.judge_partial(now, conn_key);
            }
            WorkerPhase::ProbeAbandoned | WorkerPhase::Probing(_) => {
                let partial = worker.reader.partial();
                if partial.is_some_and(|partial| partial.buffered > MAX_PROBE_BODY_BYTES) {
                    self.worker_failed(now, conn_key, AttemptEnding::InvalidResponse);
                }
            }
            WorkerPhase::Checking(_) | WorkerPhase::Idle | WorkerPhase::Reserved(_) => {}
        }
    }

    /// Reports for how long a worker that turns a request away wants nothing as soon as the head of
    /// its response has arrived: the rest may never come.
    fn hear_refusal(&mut self, now: Time, conn_key: usize) {
        let Some(worker) = self.worker_conn(conn_key) else {
            return;
        };
        let (WorkerPhase::Sent { id, .. }, Some(partial)) =
            (&worker.phase, worker.reader.partial())
        else {
            return;
        };
        let head = read_response_head(partial.head);
        let same_id = head.id.as_deref() == Some(&**id);
        if same_id && head.notice.retry_after.is_some() {
            let heard = CallEvent::NoticeHeard(worker.key, head.notice);
            self.dispatch(now, heard);
        }
    }

    /// Handles the end of a response that was passed on while it arrived: `response` has the last
    /// part of its body.
    fn relay_ended(&mut self, now: Time, conn_key: usize, call: CallId, response: &Response) {
        let fully_sent = self
            .conns
            .get(conn_key)
            .is_some_and(|conn| !conn.channel.has_unsent());
        if fully_sent && !response.closes_connection {
            self.release_worker(now, conn_key);
        } else {
            self.close_worker(conn_key);
        }
        self.relay_body(now, call, &response.body, true);
    }

    /// Handles a response according to what is in flight on the connection.
    pub(crate) fn worker_response(&mut self, now: Time, conn_key: usize, response: Response) {
        let head = read_response_head(&response);
        let Some(worker) = self.worker_conn(conn_key) else {
            return;
        };
        match &worker.phase {
            WorkerPhase::ProbeAbandoned if head.id.is_none() => {
                let health = read_health(&response);
                self.late_health(now, conn_key, health, response.closes_connection);
            }
            WorkerPhase::ProbeAbandoned => {}
            WorkerPhase::Relaying(call) => {
                let call = *call;
                self.relay_ended(now, conn_key, call, &response);
            }
            WorkerPhase::Probing(link) => {
                let link = *link;
                // A response with an id is a late one to an earlier request.
                if head.id.is_none() {
                    let health = read_health(&response);
                    self.probe_responded(now, conn_key, link, health, response.closes_connection);
                }
            }
            WorkerPhase::Sent { id, link, .. } => {
                let link = *link;
                let same_id = head.id.as_deref() == Some(&**id);
                // A response without an id is invalid, even a refusal: it may be a late copy of the
                // one to an earlier request or probe. One with another id is ignored.
                if same_id {
                    self.attempt_responded(now, conn_key, link, &head, response);
                } else if head.id.is_none() {
                    self.worker_failed(now, conn_key, AttemptEnding::InvalidResponse);
                }
            }
            WorkerPhase::Checking(_) | WorkerPhase::Reserved(_) | WorkerPhase::Idle => {}
        }
    }

    /// Handles the response to an abandoned probe: returns the connection to the pool or closes it,
    /// and reports to the dispatcher unless the response names another worker than the connection is for.
    pub(crate) fn late_health(
        &mut self,
        now: Time,
        conn_key: usize,
        health: HealthReport,
        closes: bool,
    ) {
        let Some(worker) = self.worker_conn(conn_key) else {
            return;
        };
        let key = worker.key;
        if closes {
            self.close_worker(conn_key);
        } else {
            self.release_worker(now, conn_key);
        }
        let record = self.dispatcher.table.get(key);
        // A worker that turns a probe away may not name itself.
        let other = |record: &WorkerRecord| {
            let id = health.id.as_ref();
            id.is_some_and(|id| *id != record.worker.id)
        };
        if record.is_some_and(|record| !other(record)) {
            self.dispatch(now, CallEvent::LateHealth(key, health));
        }
    }

    /// Handles the response to a probe: reserves the connection, or a new one if the worker closes
    /// it, and reports to the dispatcher.
    pub(crate) fn probe_responded(
        &mut self,
        now: Time,
        conn_key: usize,
        link: LinkId,
        health: HealthReport,
        closes: bool,
    ) {
        if let Some(worker) = self.worker_conn(conn_key) {
            worker.phase = WorkerPhase::Reserved(link);
            worker.reused = true;
        }
        if closes {
            self.replace_reserved(now, conn_key);
        }
        self.dispatch(now, CallEvent::ProbeEnded(link, Ok(health)));
    }

    /// Handles the response to a request: returns the connection to the pool or closes it, keeps
    /// the response if it may be delivered, and reports to the dispatcher.
    pub(crate) fn attempt_responded(
        &mut self,
        now: Time,
        conn_key: usize,
        link: LinkId,
        head: &ResponseHead,
        response: Response,
    ) {
        let report = AttemptReport {
            ending: classify(head, &response),
            load: head.load,
            notice: (!head.misdirected).then_some(head.notice),
        };
        if report.ending == AttemptEnding::Served {
            self.record_transfer(link, response.body.len());
        }
        let keep = !response.closes_connection && report.ending != AttemptEnding::InvalidResponse;
        if report.ending == AttemptEnding::Served || report.ending == AttemptEnding::Failed {
            let worker = self.worker_conn(conn_key).map(|worker| worker.key);
            self.links
                .insert(link, LinkState::Responded(Box::new(response), worker));
        } else {
            self.links.remove(&link);
        }
        // If the worker responded before the whole request was sent, the worker must not read the
        // rest as the start of the next request.
        let fully_sent = self
            .conns
            .get(conn_key)
            .is_some_and(|conn| !conn.channel.has_unsent());
        if keep && fully_sent {
            self.release_worker(now, conn_key);
        } else {
            self.close_worker(conn_key);
        }
        self.dispatch(now, CallEvent::AttemptEnded(link, report));
    }

    /// Handles that a connection to a worker ended.
    pub(crate) fn worker_ended(&mut self, now: Time, conn_key: usize, ending: ConnectionEnd) {
        let Some(worker) = self.worker_conn(conn_key) else {
            return;
        };
        let (reused, last_response) = (worker.reused, worker.reader.finish(ending));
        match worker.phase {
            WorkerPhase::Checking(link) => self.end_check(now, conn_key, link, Liveness::Down),
            WorkerPhase::ProbeAbandoned | WorkerPhase::Idle => self.close_worker(conn_key),
            WorkerPhase::Reserved(_) => self.replace_reserved(now, conn_key),
            WorkerPhase::Probing(link) if reused => {
                // The worker closed an idle connection, which is no sign of a failure: the probe is
                // sent again on a new connection.
                let key = worker.key;
                self.close_worker(conn_key);
                match self.open_worker(now, key) {
                    Some(conn_key) => self.start_probe(now, conn_key, link),
                    None => self.probe_failed(now, link),
                }
            }
            WorkerPhase::Probing(_) => match last_response {
                Ok(Some(mut response)) => {
                    response.closes_connection = true;
                    self.worker_response(now, conn_key, response);
                }
                Ok(None) | Err(_) => self.worker_failed(now, conn_key, AttemptEnding::Lost),
            },
            WorkerPhase::Relaying(call) => match last_response {
                Ok(Some(mut response)) => {
                    response.closes_connection = true;
                    self.relay_ended(now, conn_key, call, &response);
                }
                Ok(None) | Err(_) => self.break_relay(now, call, "the worker broke off"),
            },
            WorkerPhase::Sent { .. } => match last_response {
                Ok(Some(mut response)) => {
                    response.closes_connection = true;
                    self.worker_response(now, conn_key, response);
                    if self.worker_conn(conn_key).is_some() {
                        self.worker_failed(now, conn_key, AttemptEnding::Lost);
                    }
                }
                Ok(None) => self.worker_failed(now, conn_key, AttemptEnding::Lost),
                Err(_) => self.worker_failed(now, conn_key, AttemptEnding::InvalidResponse),
            },
        }
    }

    /// Closes a connection and reports the probe or request in flight on it as failed; a request of
    /// which no byte was sent counts as unsent.
    pub(crate) fn worker_failed(&mut self, now: Time, conn_key: usize, ending: AttemptEnding) {
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        let ConnKind::Worker(worker) = &conn.kind else {
            return;
        };
        match worker.phase {
            WorkerPhase::Probing(link) => {
                self.close_worker(conn_key);
                self.probe_failed(now, link);
            }
            WorkerPhase::Relaying(call) => {
                self.break_relay(now, call, "the worker's response is invalid");
            }
            WorkerPhase::Sent {
                link, sent_before, ..
            } => {
                let unsent = conn.channel.sent == sent_before;
                let ending = if unsent {
                    AttemptEnding::Unsent
                } else {
                    ending
                };
                self.links.remove(&link);
                self.close_worker(conn_key);
                let report = AttemptReport::without_response(ending);
                self.dispatch(now, CallEvent::AttemptEnded(link, report));
            }
            WorkerPhase::Checking(link) => self.end_check(now, conn_key, link, Liveness::Down),
            WorkerPhase::ProbeAbandoned | WorkerPhase::Reserved(_) | WorkerPhase::Idle => {
                self.close_worker(conn_key)
            }
        }
    }

    /// Reports to the dispatcher that a probe's connection failed.
    pub(crate) fn probe_failed(&mut self, now: Time, link: LinkId) {
        self.links.remove(&link);
        self.dispatch(
            now,
            CallEvent::ProbeEnded(link, Err(ProbeFailure::ConnectionFailed)),
        );
    }
}

/// How an attempt ended, judging by its response.
pub(crate) fn classify(head: &ResponseHead, response: &Response) -> AttemptEnding {
    if head.misdirected {
        AttemptEnding::Misdirected
    } else if head.not_run {
        AttemptEnding::NotRun
    } else if head.encoded || (response.status / 100 == 2 && !head.signed) {
        AttemptEnding::InvalidResponse
    } else if response.status >= 500 {
        AttemptEnding::Failed
    } else {
        AttemptEnding::Served
    }
}
