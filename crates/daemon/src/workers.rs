//! Connections to workers. Each is used for one question or request at a time.

use {
    crate::{
        conn::Kind,
        daemon::Daemon,
        options::{CONNS_PART, MAX_ANSWER, WORKER_IDLE},
    },
    call::{Answer, AskFailure, CallId, Event, LinkId, Told},
    pick::Key,
    platform::{AnswerHead, forward, health_request, read_answer, read_health},
    site::Health,
    unit::{Name, Span, Time},
    wire::{Ending, Limits, Response, ResponseReader},
};

/// How long a question may be open that nobody waits for any more.
const ABANDONED: Span = Span::secs(2);
/// How long ago bytes may have gone over a connection that is used without a question first.
const SURELY_ALIVE: Span = Span::secs(1);

/// The connections to one worker.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Those that are free, the freshest last.
    idle: Vec<usize>,
    open: usize,
}

/// What a use of a connection has come to.
#[derive(Debug)]
pub(crate) enum Link {
    /// The worker's answer, until the desk says what becomes of it.
    Answered(Box<Response>),
    /// The connection's place.
    Conn(usize),
}

#[derive(Debug)]
enum Phase {
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
    phase: Phase,
    reader: ResponseReader,
    /// Whether an answer has come on it.
    reused: bool,
    worker: Key,
}

impl Daemon {
    /// Asks a worker for room, on a free connection where there is one.
    pub(crate) fn ask(&mut self, now: Time, link: LinkId, worker: Key) {
        let free = self.pools.get_mut(&worker).and_then(|pool| pool.idle.pop());
        let place = match free {
            Some(place) => Some(place),
            None => self.open_worker(now, worker),
        };
        let Some(place) = place else {
            let failed = Event::Asked(link, Err(AskFailure::NoConnection));
            self.desk_events.push_back(failed);
            return;
        };
        self.metrics.probes.inc();
        self.start_ask(now, place, link);
    }

    /// Has a connection ready: a free one that was used just now, or a new one.
    pub(crate) fn open(&mut self, now: Time, link: LinkId, worker: Key) {
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
            None => Err(AskFailure::NoConnection),
        };
        self.desk_events.push_back(Event::Opened(link, result));
    }

    /// Sends a request on the connection on which its worker was asked.
    pub(crate) fn send(&mut self, now: Time, call: CallId, link: LinkId, left: Span) {
        if self.try_send(now, call, link, left).is_none() {
            // The connection ended before a byte of the request was sent on it.
            self.links.remove(&link);
            let told = Told {
                answer: Answer::Unsent,
                load: None,
            };
            self.desk_events.push_back(Event::Answered(link, told));
        }
    }

    fn try_send(&mut self, now: Time, call: CallId, link: LinkId, left: Span) -> Option<()> {
        let Some(Link::Conn(place)) = self.links.get(&link) else {
            return None;
        };
        let place = *place;
        let ticket = self.calls.get(&call)?;
        let conn = self.conns.get_mut(place)?;
        let Kind::Worker(worker) = &mut conn.kind else {
            return None;
        };
        let belief = self.desk.table.get(worker.worker)?;
        let bytes = forward(&ticket.request, &belief.worker.id, left);
        worker.phase = Phase::Sent {
            head: ticket.head,
            id: ticket.id.clone(),
            link,
            start: conn.channel.sent,
        };
        if conn.channel.write(&bytes, now).is_err() {
            self.worker_ended(now, place, Ending::Reset);
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
            Kind::Worker(worker)
                if conn.channel.connected && matches!(worker.phase, Phase::Asking(_)) =>
            {
                worker.phase = Phase::Abandoned;
                self.set_due(place, now + ABANDONED);
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
        ending: Option<Ending>,
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
    pub(crate) fn worker_due(&mut self, now: Time, place: usize) {
        let Some(conn) = self.conns.get(place) else {
            return;
        };
        let Kind::Worker(worker) = &conn.kind else {
            return;
        };
        let left = WORKER_IDLE.less(conn.channel.idle(now));
        let useless = match worker.phase {
            Phase::Abandoned => true,
            Phase::Idle => left == Span::ZERO,
            Phase::Asking(_) | Phase::Held(_) | Phase::Sent { .. } => false,
        };
        if useless {
            self.drop_worker(place);
        } else {
            self.set_due(place, now + left.max(Span::secs(1)));
        }
    }

    /// Closes the free connections to workers that are no longer known.
    pub(crate) fn close_unknown(&mut self) {
        let gone: Vec<Key> = self
            .pools
            .keys()
            .filter(|key| self.desk.table.get(**key).is_none())
            .copied()
            .collect();
        for key in gone {
            let idle = self
                .pools
                .get_mut(&key)
                .map(|pool| std::mem::take(&mut pool.idle));
            for place in idle.into_iter().flatten() {
                self.drop_worker(place);
            }
            if self.pools.get(&key).is_some_and(|pool| pool.open == 0) {
                self.pools.remove(&key);
            }
        }
    }

    fn worker(&mut self, place: usize) -> Option<&mut WorkerConn> {
        match &mut self.conns.get_mut(place)?.kind {
            Kind::Worker(worker) => Some(worker),
            _ => None,
        }
    }

    /// Opens a connection; `None` where this daemon may have no more of the worker's, or the system
    /// refuses one.
    fn open_worker(&mut self, now: Time, key: Key) -> Option<usize> {
        let belief = self.desk.table.get(key)?;
        let address = belief.worker.address;
        let config = self.config.as_ref()?;
        let conns = config.services.get(&belief.worker.service)?.conns;
        let share = f64::from(conns) * CONNS_PART / self.desk.table.members() as f64;
        let pool = self.pools.entry(key).or_default();
        if pool.open >= (share as usize).max(1) {
            return None;
        }
        let kind = Kind::Worker(WorkerConn {
            phase: Phase::Idle,
            reader: new_reader(),
            reused: false,
            worker: key,
        });
        // The desk logs that no connection could be had.
        let place = self.connect(address, kind, now).ok()?;
        self.pools.entry(key).or_default().open += 1;
        self.metrics.connections.inc();
        self.set_due(place, now + WORKER_IDLE);
        Some(place)
    }

    fn start_ask(&mut self, now: Time, place: usize, link: LinkId) {
        let Some(request) = self.health_bytes(place) else {
            let failed = Event::Asked(link, Err(AskFailure::NoConnection));
            self.desk_events.push_back(failed);
            return;
        };
        self.links.insert(link, Link::Conn(place));
        if let Some(worker) = self.worker(place) {
            worker.phase = Phase::Asking(link);
        }
        if self.write(place, &request, now).is_err() {
            self.worker_ended(now, place, Ending::Reset);
        }
    }

    fn health_bytes(&mut self, place: usize) -> Option<Vec<u8>> {
        let key = self.worker(place)?.worker;
        let belief = self.desk.table.get(key)?;
        let service = self.config.as_ref()?.services.get(&belief.worker.service)?;
        let host = belief.worker.address.to_string();
        let mut out = Vec::with_capacity(128);
        health_request(&service.health, &host).encode(&mut out);
        Some(out)
    }

    fn take_responses(&mut self, now: Time, place: usize) {
        while let Some(worker) = self.worker(place) {
            let head = matches!(worker.phase, Phase::Sent { head: true, .. });
            match worker.phase {
                Phase::Idle | Phase::Held(_) if !worker.reader.begun() => return,
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
            match worker.reader.take(head) {
                Ok(Some(response)) => self.worker_response(now, place, response),
                Ok(None) => return,
                Err(_) => {
                    self.worker_failed(now, place, Answer::Spoiled);
                    return;
                }
            }
        }
    }

    fn worker_response(&mut self, now: Time, place: usize, response: Response) {
        let answer = read_answer(&response);
        let Some(worker) = self.worker(place) else {
            return;
        };
        match &worker.phase {
            Phase::Abandoned if answer.id.is_none() => {
                let health = read_health(&response);
                self.told(now, place, health, response.last);
            }
            Phase::Abandoned => {}
            Phase::Asking(link) => {
                let link = *link;
                // An answer with an id is a late one to an earlier request.
                if answer.id.is_none() {
                    let health = read_health(&response);
                    self.asked(now, place, link, health, response.last);
                }
            }
            Phase::Sent { id, link, .. } => {
                let link = *link;
                let own = answer.id.as_deref() == Some(&**id);
                // Refusals need not name the request; other answers without its id aren't its own.
                if own || (answer.id.is_none() && answer.not_run) {
                    self.answered(now, place, link, &answer, response);
                } else if answer.id.is_none() {
                    self.worker_failed(now, place, Answer::Spoiled);
                }
            }
            Phase::Held(_) | Phase::Idle => {}
        }
    }

    fn told(&mut self, now: Time, place: usize, health: Health, last: bool) {
        let Some(worker) = self.worker(place) else {
            return;
        };
        let key = worker.worker;
        if last {
            self.drop_worker(place);
        } else {
            self.free_worker(now, place);
        }
        let meant = self.desk.table.get(key).map(|belief| &belief.worker.id);
        if health.id.as_ref() == meant {
            self.decide(now, Event::Told(key, health));
        }
    }

    fn asked(&mut self, now: Time, place: usize, link: LinkId, health: Health, last: bool) {
        if let Some(worker) = self.worker(place) {
            worker.phase = Phase::Held(link);
            worker.reused = true;
        }
        if last {
            self.replace_held(now, place);
        }
        self.decide(now, Event::Asked(link, Ok(health)));
    }

    fn answered(
        &mut self,
        now: Time,
        place: usize,
        link: LinkId,
        head: &AnswerHead,
        response: Response,
    ) {
        let told = Told {
            answer: classify(head, &response),
            load: head.load,
        };
        let keep = !response.last && told.answer != Answer::Spoiled;
        if told.answer == Answer::Served || told.answer == Answer::Failed {
            self.links.insert(link, Link::Answered(Box::new(response)));
        } else {
            self.links.remove(&link);
        }
        // The rest of a request that was answered early must not be taken for the next one.
        let whole = self
            .conns
            .get(place)
            .is_some_and(|conn| !conn.channel.pending());
        if keep && whole {
            self.free_worker(now, place);
        } else {
            self.drop_worker(place);
        }
        self.decide(now, Event::Answered(link, told));
    }

    /// Takes in that a connection ended.
    fn worker_ended(&mut self, now: Time, place: usize, ending: Ending) {
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
                    response.last = true;
                    self.worker_response(now, place, response);
                }
                Ok(None) | Err(_) => self.worker_failed(now, place, Answer::Lost),
            },
            Phase::Sent { .. } => match rest {
                Ok(Some(mut response)) => {
                    response.last = true;
                    self.worker_response(now, place, response);
                    if self.worker(place).is_some() {
                        self.worker_failed(now, place, Answer::Lost);
                    }
                }
                Ok(None) => self.worker_failed(now, place, Answer::Lost),
                Err(_) => self.worker_failed(now, place, Answer::Spoiled),
            },
        }
    }

    /// Ends what is under way on a connection without an answer.
    fn worker_failed(&mut self, now: Time, place: usize, answer: Answer) {
        let Some(conn) = self.conns.get(place) else {
            return;
        };
        let Kind::Worker(worker) = &conn.kind else {
            return;
        };
        match worker.phase {
            Phase::Asking(link) => {
                self.drop_worker(place);
                self.ask_failed(now, link);
            }
            Phase::Sent { link, start, .. } => {
                let unsent = conn.channel.sent == start;
                let answer = if unsent { Answer::Unsent } else { answer };
                self.links.remove(&link);
                self.drop_worker(place);
                let told = Told { answer, load: None };
                self.decide(now, Event::Answered(link, told));
            }
            Phase::Abandoned | Phase::Held(_) | Phase::Idle => self.drop_worker(place),
        }
    }

    fn ask_failed(&mut self, now: Time, link: LinkId) {
        self.links.remove(&link);
        self.decide(now, Event::Asked(link, Err(AskFailure::Broken)));
    }

    /// Puts a new connection in the place of one on which the worker was asked and that can't be
    /// used any more. Where none can be had, the desk learns of it when it sends the request.
    fn replace_held(&mut self, now: Time, place: usize) {
        let Some(worker) = self.worker(place) else {
            return;
        };
        let (Phase::Held(link), key) = (&worker.phase, worker.worker) else {
            return;
        };
        let link = *link;
        self.drop_worker(place);
        match self.open_worker(now, key) {
            Some(place) => {
                if let Some(worker) = self.worker(place) {
                    worker.phase = Phase::Held(link);
                }
                self.links.insert(link, Link::Conn(place));
            }
            None => {
                self.links.remove(&link);
            }
        }
    }

    fn free_worker(&mut self, now: Time, place: usize) {
        let Some(worker) = self.worker(place) else {
            return;
        };
        worker.phase = Phase::Idle;
        worker.reused = true;
        let (key, dirty) = (worker.worker, worker.reader.begun());
        if dirty || self.desk.table.get(key).is_none() {
            self.drop_worker(place);
            return;
        }
        self.pools.entry(key).or_default().idle.push(place);
        self.set_due(place, now + WORKER_IDLE);
    }

    fn drop_worker(&mut self, place: usize) {
        let Some(conn) = self.remove(place) else {
            return;
        };
        if let Kind::Worker(worker) = conn.kind
            && let Some(pool) = self.pools.get_mut(&worker.worker)
        {
            pool.open = pool.open.saturating_sub(1);
            pool.idle.retain(|other| *other != place);
        }
    }
}

fn classify(head: &AnswerHead, response: &Response) -> Answer {
    if head.misdirected {
        Answer::Misdirected
    } else if head.not_run {
        Answer::NotRun
    } else if head.encoded || (response.status / 100 == 2 && !head.signed) {
        Answer::Spoiled
    } else if response.status >= 500 {
        Answer::Failed
    } else {
        Answer::Served
    }
}

fn new_reader() -> ResponseReader {
    ResponseReader::new(Limits {
        body: MAX_ANSWER,
        ..Limits::default()
    })
}
