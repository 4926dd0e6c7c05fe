use {
    crate::{
        daemon::Daemon,
        flight::Flight,
        hall::{Grant, Hall, Turn},
    },
    back::{Ready, wait},
    conf::{Class, Kind, Service},
    crossbeam::channel::Receiver,
    pick::{Event, Job, Refusal, Verdict},
    std::{
        net::TcpStream,
        sync::Arc,
        time::{Duration, Instant},
    },
    unit::{Name, Span, Time},
    wire::{Request, Response},
};

/// How often a waiting request looks whether its caller is still there.
const LOOK: Duration = Duration::from_millis(50);
/// Nothing is sent to a cold worker that must have ended so soon.
pub(crate) const LEAST: Span = Span::millis(5);

/// How a call ended.
pub(crate) enum Ending {
    /// A worker's whole answer.
    Answer(Response),
    /// The caller went away.
    Gone,
    /// It did not run; the caller may come back after this time.
    NotRun(Span, Refusal),
    /// It may have run.
    Unknown(&'static str),
}

/// What became of the requests in flight.
enum Landing {
    Ending(Ending),
    /// Another worker may be tried.
    Retry {
        free: bool,
        not: Name,
    },
}

/// One call on its way to one worker or more.
pub(crate) struct Attempt<'a> {
    pub(crate) class: &'a Class,
    pub(crate) daemon: &'a Daemon,
    pub(crate) flights: Vec<Flight>,
    pub(crate) hall: &'a Arc<Hall>,
    pub(crate) hedged: bool,
    pub(crate) job: Job,
    /// What is sent, without the headers that differ from worker to worker.
    pub(crate) request: Request,
    pub(crate) service: &'a Service,
    pub(crate) sock: &'a TcpStream,
    /// Whether a worker got it and may have run it, though no answer came.
    pub(crate) started: bool,
    pub(crate) turns: Receiver<Turn>,
    /// The time that workers took.
    pub(crate) upstream: Span,
    /// Whether the caller's connection is watched for its end.
    pub(crate) watch: bool,
}

impl Attempt<'_> {
    /// Runs the call to its end.
    pub(crate) fn run(&mut self) -> Ending {
        self.drive(Event::Arrive(self.job));
        loop {
            let grant = match self.turn() {
                Ok(grant) => grant,
                Err(ending) => return ending,
            };
            let worker = grant.worker.clone();
            let landing = if self.launch(grant) {
                self.land()
            } else {
                Landing::Retry {
                    free: true,
                    not: worker,
                }
            };
            match landing {
                Landing::Ending(ending) => return ending,
                Landing::Retry { free, not } => {
                    self.daemon
                        .metrics
                        .extras
                        .with_label_values(&["retry"])
                        .inc();
                    let job = self.job;
                    self.drive(Event::Retry { free, job, not });
                }
            }
        }
    }

    pub(crate) fn drive(&self, event: Event) {
        self.daemon.drive(self.hall, event);
    }

    fn idempotent(&self) -> bool {
        self.class.kind == Kind::Idempotent
    }

    /// Waits for a worker.
    fn turn(&mut self) -> Result<Grant, Ending> {
        let end = self.daemon.instant(self.job.deadline);
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.turns.recv_timeout(left.min(LOOK)) {
                Ok(Turn::Go(grant)) => return Ok(grant),
                Ok(Turn::No(after, why)) => return Err(self.give_up(after, why)),
                Err(_) if left.is_zero() => {
                    self.drive(Event::Leave(self.job.id));
                    return Err(self.give_up(Span::secs(1), Refusal::Deadline));
                }
                Err(_) if self.caller_gone() => {
                    self.drive(Event::Leave(self.job.id));
                    return Err(Ending::Gone);
                }
                Err(_) => {}
            }
        }
    }

    /// What is known of a request that gets no worker any more.
    fn give_up(&self, after: Span, why: Refusal) -> Ending {
        if self.started {
            Ending::Unknown("a worker may have run it, and no other was to be had")
        } else {
            Ending::NotRun(after, why)
        }
    }

    /// Waits for the answers of the requests in flight.
    fn land(&mut self) -> Landing {
        loop {
            let hedge = self.hedge_at();
            let ends = self.flights.iter().map(|flight| flight.end);
            let Some(end) = ends.chain(hedge).min() else {
                return Landing::Ending(Ending::Unknown("no request is in flight"));
            };
            let socks: Vec<&TcpStream> = self
                .flights
                .iter()
                .map(|flight| flight.conn.sock())
                .collect();
            let caller = self.watch.then_some(self.sock);
            match wait(&socks, caller, end) {
                Ready::Caller if self.caller_gone() => {
                    self.cancel_all();
                    return Landing::Ending(Ending::Gone);
                }
                Ready::Caller => self.watch = false,
                Ready::Worker(at) => {
                    if let Some(landing) = self.read(at) {
                        return landing;
                    }
                }
                Ready::Timeout if hedge.is_some_and(|at| Instant::now() >= at) => self.hedge(),
                Ready::Timeout => {
                    if let Some(landing) = self.expire() {
                        return landing;
                    }
                }
            }
        }
    }

    /// When the request goes to a second worker.
    fn hedge_at(&self) -> Option<Instant> {
        let [flight] = self.flights.as_slice() else {
            return None;
        };
        if self.hedged || self.job.extra || !self.idempotent() {
            return None;
        }
        let delay = self.hall.hedge_delay()?;
        Some(self.daemon.instant(flight.sent + delay))
    }

    fn hedge(&mut self) {
        self.hedged = true;
        let Some(not) = self.flights.first().map(|flight| flight.worker.clone()) else {
            return;
        };
        let job = self.job;
        self.drive(Event::Hedge { job, not });
        if let Ok(Turn::Go(grant)) = self.turns.try_recv() {
            self.daemon
                .metrics
                .extras
                .with_label_values(&["hedge"])
                .inc();
            self.launch(grant);
        }
    }

    /// Ends the requests whose time is up.
    fn expire(&mut self) -> Option<Landing> {
        let now = Instant::now();
        let mut not = None;
        while let Some(at) = self.flights.iter().position(|flight| flight.end <= now) {
            let flight = self.flights.swap_remove(at);
            self.started = true;
            let verdict = if flight.reused {
                Verdict::Silent
            } else {
                Verdict::Failed
            };
            self.finish(&flight.worker, verdict, false);
            not = Some(flight.worker);
        }
        let not = not?;
        if !self.flights.is_empty() {
            return None;
        }
        if self.idempotent() && self.daemon.now() + LEAST < self.job.deadline {
            return Some(Landing::Retry { free: false, not });
        }
        Some(Landing::Ending(Ending::Unknown("the deadline passed")))
    }

    /// Reads the answer of one request in flight; `None` where another one is still awaited.
    fn read(&mut self, at: usize) -> Option<Landing> {
        let mut flight = self.flights.swap_remove(at);
        let head = self.request.method == "HEAD";
        let read = flight
            .conn
            .read_response(self.class.answer, head, flight.end);
        let took = self.daemon.now() - flight.sent;
        let worker = flight.worker.clone();
        let response = match read {
            Ok(response) if self.is_own(&response) => response,
            _ => {
                self.started = true;
                self.finish(&worker, Verdict::Failed, false);
                return self.after_failure(worker);
            }
        };
        let reuse = !response.last && !flight.conn.ahead();
        if reuse {
            self.daemon.pool.put(&worker, flight.boot, flight.conn);
        }
        let verdict = judge(&response, took);
        self.finish(&worker, verdict, reuse);
        if matches!(verdict, Verdict::Shed | Verdict::Draining) {
            let free = verdict == Verdict::Draining;
            return self
                .flights
                .is_empty()
                .then_some(Landing::Retry { free, not: worker });
        }
        self.upstream = took;
        self.cancel_all();
        Some(Landing::Ending(Ending::Answer(response)))
    }

    fn after_failure(&self, not: Name) -> Option<Landing> {
        if !self.flights.is_empty() {
            return None;
        }
        Some(if self.idempotent() {
            Landing::Retry { free: false, not }
        } else {
            Landing::Ending(Ending::Unknown("the upstream's answer was lost"))
        })
    }

    /// Whether an answer belongs to this request, as far as the worker names one.
    fn is_own(&self, response: &Response) -> bool {
        let sent = self.request.headers.get("anvilferry-request");
        let named = response.headers.get("anvilferry-request");
        named.is_none() || named == sent
    }

    fn cancel_all(&mut self) {
        for flight in std::mem::take(&mut self.flights) {
            drop(flight.conn);
            self.finish(&flight.worker, Verdict::Cancelled, false);
        }
    }

    pub(crate) fn finish(&self, worker: &Name, verdict: Verdict, reuse: bool) {
        self.drive(Event::End {
            id: self.job.id,
            reuse,
            verdict,
            worker: worker.clone(),
        });
    }

    /// Whether the caller has closed its connection.
    fn caller_gone(&self) -> bool {
        if !self.watch || self.sock.set_nonblocking(true).is_err() {
            return false;
        }
        let gone = matches!(self.sock.peek(&mut [0]), Ok(0));
        drop(self.sock.set_nonblocking(false));
        gone
    }
}

impl Drop for Attempt<'_> {
    /// Gives back a turn that came too late.
    fn drop(&mut self) {
        self.hall.exit(self.job.id);
        while let Ok(turn) = self.turns.try_recv() {
            if let Turn::Go(grant) = turn {
                self.finish(&grant.worker, Verdict::Cancelled, grant.dial.is_none());
            }
        }
    }
}

fn judge(response: &Response, took: Span) -> Verdict {
    let says = |name: &str, value: &str| response.headers.get(name) == Some(value);
    if response.status == 503 && says("anvilferry-outcome", "not-run") {
        if says("anvilferry-draining", "1") {
            Verdict::Draining
        } else {
            Verdict::Shed
        }
    } else if response.status >= 500 {
        Verdict::Erred(took)
    } else {
        Verdict::Answered(took)
    }
}

/// The time by which a call must have been answered.
pub(crate) fn deadline(now: Time, class: &Class, asked: Option<Span>) -> Time {
    now + asked.map_or(class.deadline, |asked| asked.min(class.deadline))
}
