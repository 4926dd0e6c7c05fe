//! What comes back on connections to workers.

use {
    crate::{
        conn::ConnKind,
        daemon::Daemon,
        workers::{Link, Phase},
    },
    call::{AttemptEnding, AttemptReport, CallEvent, LinkId, ProbeFailure},
    platform::{ResponseHead, read_health, read_response_head},
    site::HealthReport,
    unit::Time,
    wire::{ConnectionEnd, Response},
};

impl Daemon {
    pub(crate) fn take_responses(&mut self, now: Time, place: usize) {
        while let Some(worker) = self.worker(place) {
            let head = matches!(worker.phase, Phase::Sent { head: true, .. });
            match worker.phase {
                Phase::Idle | Phase::Held(_) if !worker.reader.has_pending() => return,
                // Bytes that nobody asked for: nothing on this connection can be trusted.
                Phase::Idle => {
                    self.drop_worker(place);
                    return;
                }
                Phase::Held(_) => {
                    self.replace_held(now, place);
                    return;
                }
                Phase::Abandoned | Phase::Asking(_) | Phase::Sent { .. } => {}
            }
            match worker.reader.next_response(head) {
                Ok(Some(response)) => self.worker_response(now, place, response),
                Ok(None) => return,
                Err(_) => {
                    self.worker_failed(now, place, AttemptEnding::InvalidResponse);
                    return;
                }
            }
        }
    }

    pub(crate) fn worker_response(&mut self, now: Time, place: usize, response: Response) {
        let answer = read_response_head(&response);
        let Some(worker) = self.worker(place) else {
            return;
        };
        match &worker.phase {
            Phase::Abandoned if answer.id.is_none() => {
                let health = read_health(&response);
                self.told(now, place, health, response.closes_connection);
            }
            Phase::Abandoned => {}
            Phase::Asking(link) => {
                let link = *link;
                // An answer with an id is a late one to an earlier request.
                if answer.id.is_none() {
                    let health = read_health(&response);
                    self.asked(now, place, link, health, response.closes_connection);
                }
            }
            Phase::Sent { id, link, .. } => {
                let link = *link;
                let own = answer.id.as_deref() == Some(&**id);
                // Refusals need not name the request; other answers without its id aren't its own.
                if own || (answer.id.is_none() && answer.not_run) {
                    self.answered(now, place, link, &answer, response);
                } else if answer.id.is_none() {
                    self.worker_failed(now, place, AttemptEnding::InvalidResponse);
                }
            }
            Phase::Held(_) | Phase::Idle => {}
        }
    }

    pub(crate) fn told(&mut self, now: Time, place: usize, health: HealthReport, last: bool) {
        let Some(worker) = self.worker(place) else {
            return;
        };
        let key = worker.worker;
        if last {
            self.drop_worker(place);
        } else {
            self.free_worker(now, place);
        }
        let meant = self
            .dispatcher
            .table
            .get(key)
            .map(|belief| &belief.worker.id);
        if health.id.as_ref() == meant {
            self.dispatch(now, CallEvent::LateHealth(key, health));
        }
    }

    pub(crate) fn asked(
        &mut self,
        now: Time,
        place: usize,
        link: LinkId,
        health: HealthReport,
        last: bool,
    ) {
        if let Some(worker) = self.worker(place) {
            worker.phase = Phase::Held(link);
            worker.reused = true;
        }
        if last {
            self.replace_held(now, place);
        }
        self.dispatch(now, CallEvent::ProbeEnded(link, Ok(health)));
    }

    pub(crate) fn answered(
        &mut self,
        now: Time,
        place: usize,
        link: LinkId,
        head: &ResponseHead,
        response: Response,
    ) {
        let told = AttemptReport {
            ending: classify(head, &response),
            load: head.load,
        };
        let keep = !response.closes_connection && told.ending != AttemptEnding::InvalidResponse;
        if told.ending == AttemptEnding::Served || told.ending == AttemptEnding::Failed {
            self.links.insert(link, Link::Answered(Box::new(response)));
        } else {
            self.links.remove(&link);
        }
        // The rest of a request that was answered early must not be taken for the next one.
        let whole = self
            .conns
            .get(place)
            .is_some_and(|conn| !conn.channel.has_unsent());
        if keep && whole {
            self.free_worker(now, place);
        } else {
            self.drop_worker(place);
        }
        self.dispatch(now, CallEvent::AttemptEnded(link, told));
    }

    /// Takes in that a connection ended.
    pub(crate) fn worker_ended(&mut self, now: Time, place: usize, ending: ConnectionEnd) {
        let Some(worker) = self.worker(place) else {
            return;
        };
        let (reused, rest) = (worker.reused, worker.reader.finish(ending));
        match worker.phase {
            Phase::Abandoned | Phase::Idle => self.drop_worker(place),
            Phase::Held(_) => self.replace_held(now, place),
            Phase::Asking(link) if reused => {
                // The worker closed the idle connection; that says nothing of the worker.
                let key = worker.worker;
                self.drop_worker(place);
                match self.open_worker(now, key) {
                    Some(place) => self.start_ask(now, place, link),
                    None => self.ask_failed(now, link),
                }
            }
            Phase::Asking(_) => match rest {
                Ok(Some(mut response)) => {
                    response.closes_connection = true;
                    self.worker_response(now, place, response);
                }
                Ok(None) | Err(_) => self.worker_failed(now, place, AttemptEnding::Lost),
            },
            Phase::Sent { .. } => match rest {
                Ok(Some(mut response)) => {
                    response.closes_connection = true;
                    self.worker_response(now, place, response);
                    if self.worker(place).is_some() {
                        self.worker_failed(now, place, AttemptEnding::Lost);
                    }
                }
                Ok(None) => self.worker_failed(now, place, AttemptEnding::Lost),
                Err(_) => self.worker_failed(now, place, AttemptEnding::InvalidResponse),
            },
        }
    }

    /// Ends what is under way on a connection without an answer.
    pub(crate) fn worker_failed(&mut self, now: Time, place: usize, answer: AttemptEnding) {
        let Some(conn) = self.conns.get(place) else {
            return;
        };
        let ConnKind::Worker(worker) = &conn.kind else {
            return;
        };
        match worker.phase {
            Phase::Asking(link) => {
                self.drop_worker(place);
                self.ask_failed(now, link);
            }
            Phase::Sent { link, start, .. } => {
                let unsent = conn.channel.sent == start;
                let answer = if unsent {
                    AttemptEnding::Unsent
                } else {
                    answer
                };
                self.links.remove(&link);
                self.drop_worker(place);
                let told = AttemptReport {
                    ending: answer,
                    load: None,
                };
                self.dispatch(now, CallEvent::AttemptEnded(link, told));
            }
            Phase::Abandoned | Phase::Held(_) | Phase::Idle => self.drop_worker(place),
        }
    }

    pub(crate) fn ask_failed(&mut self, now: Time, link: LinkId) {
        self.links.remove(&link);
        self.dispatch(
            now,
            CallEvent::ProbeEnded(link, Err(ProbeFailure::ConnectionFailed)),
        );
    }
}

fn classify(head: &ResponseHead, response: &Response) -> AttemptEnding {
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
