//! A stand-in worker: an HTTP server with a fixed number of slots, a queue and injectable faults.

use {
    crate::{
        execution_log::{Answer, Arrival, Execution, ExecutionLog},
        server::{Reply, Server, endless_body},
        worker_fault::{WorkerFault, truncated},
    },
    platform::standin::{
        add_notice, health_response, misdirected_response, not_run_response, read_forwarded_head,
        sign_response,
    },
    site::{HealthReport, LoadReport, Notice, Worker, WorkerState},
    std::{
        io::{self, ErrorKind, Write},
        net::{Ipv4Addr, SocketAddrV4, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
    unit::{Name, Rate, Span},
    wire::{Request, Response},
};

/// The maximum number of requests waiting for a slot.
const MAX_WAITING: u32 = 8;
/// How often a worker checks whether the connection of a running request has closed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a worker that has crashed is down.
pub(crate) const CRASH_TIME: Duration = Duration::from_millis(300);
/// One in this many requests is refused by a worker with [`WorkerFault::RepeatsRefusal`].
const REFUSED_ONE_IN: usize = 3;
/// The latency, in percent, of a machine at normal speed.
const NORMAL_PERCENT: u32 = 100;

/// How the execution of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkResult {
    Finished,
    /// The connection of the request closed.
    Disconnected,
    /// The request's deadline passed.
    TimedOut,
}

/// The changing state of a worker.
#[derive(Debug)]
struct State {
    /// The least length of a response's body, in bytes; shorter ones are padded.
    body_bytes: usize,
    /// The path of requests that crash it.
    crash_path: Option<String>,
    /// When the cold start ends.
    cold_end: Option<Instant>,
    fault: WorkerFault,
    healthy: bool,
    /// The id of the request whose execution ended last.
    last_request: Option<String>,
    /// The time that requests take on this machine, in percent of the normal time.
    latency_percent: u32,
    /// The id of the request that was refused last.
    last_refused: Option<String>,
    /// What responses to requests ask of the callers.
    notice: Notice,
    /// The requests counted to choose those that are refused.
    started: usize,
    running: u32,
    /// How long it wants nothing from a daemon whose request it turns away; `None` while it turns
    /// none away.
    turning_away: Option<Span>,
    waiting: u32,
}

/// The state that a worker shares with its server's threads.
struct Shared {
    state: Mutex<State>,
    /// Notified when a slot becomes free.
    slot_free: Condvar,
    id: Name,
    executions: ExecutionLog,
    slots: u32,
    work_time: Duration,
}

/// A worker served by this process; dropping it stops it and closes its connections.
pub struct Upstream {
    /// The worker's entry in the store.
    pub entry: Worker,
    server: Server,
    shared: Arc<Shared>,
}

impl Upstream {
    /// Starts a worker of `service` in `centre` that takes `work_time` for each request.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start(
        id: &str,
        service: &str,
        centre: &str,
        work_time: Duration,
        executions: &ExecutionLog,
    ) -> io::Result<Self> {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self::start_at(address, id, service, centre, work_time, executions)
    }

    /// Starts a worker on an address, which another worker may have used before.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub fn start_at(
        address: SocketAddrV4,
        id: &str,
        service: &str,
        centre: &str,
        work_time: Duration,
        executions: &ExecutionLog,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                body_bytes: 0,
                crash_path: None,
                cold_end: None,
                fault: WorkerFault::None,
                healthy: true,
                last_request: None,
                last_refused: None,
                started: 0,
                latency_percent: NORMAL_PERCENT,
                notice: Notice::default(),
                running: 0,
                turning_away: None,
                waiting: 0,
            }),
            slot_free: Condvar::new(),
            id: id.into(),
            executions: executions.clone(),
            slots: 4,
            work_time,
        });
        let handler_shared = Arc::clone(&shared);
        let handler =
            move |request: &Request, conn: &TcpStream| handler_shared.handle(request, conn);
        let server = Server::start(address, Arc::new(handler))?;
        Ok(Self {
            entry: Worker {
                address: server.address,
                heartbeats: 1,
                started_ms: 1,
                centre: centre.into(),
                cold_remaining: Span::ZERO,
                id: id.into(),
                service: service.into(),
                slots: shared.slots,
                state: WorkerState::Ready,
                version: "v1".into(),
            },
            server,
            shared,
        })
    }

    /// Sets the worker's fault; `WorkerFault::None` ends it.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.shared.lock().fault = fault;
    }

    /// Sets the time that requests take, in percent of the normal time; load reports contain it.
    pub fn set_latency_percent(&self, percent: u32) {
        self.shared.lock().latency_percent = percent;
    }

    /// Pads the bodies of responses to at least `bytes`.
    pub fn set_body_bytes(&self, bytes: usize) {
        self.shared.lock().body_bytes = bytes;
    }

    /// Sets whether responses to requests say that the worker leaves. Responses to health probes
    /// don't say it.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.lock().notice.leaving = leaving;
    }

    /// Sets the limit that responses to requests name, if any. Responses to health probes don't name
    /// it.
    pub fn set_rate_limit(&self, limit: Option<Rate>) {
        self.shared.lock().notice.rate_limit = limit;
    }

    /// Has it turn away every request and ask its daemon to send nothing for a span; `None` ends
    /// that.
    pub fn turn_away(&self, retry_after: Option<Span>) {
        self.shared.lock().turning_away = retry_after;
    }

    /// Has it crash when it runs a request with this path, and be down for 0.3 s.
    pub fn crash_on(&self, path: &str) {
        self.shared.lock().crash_path = Some(path.to_owned());
    }

    /// Makes the worker cold for `duration`.
    pub fn set_cold(&self, duration: Duration) {
        self.shared.lock().cold_end = Some(Instant::now() + duration);
    }

    /// Sets whether the health endpoint reports the worker as healthy; nothing else changes.
    pub fn set_healthy(&self, healthy: bool) {
        self.shared.lock().healthy = healthy;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Returns the entry that the worker writes to the store when it begins to drain.
    pub fn draining_entry(&self) -> Worker {
        Worker {
            heartbeats: self.entry.heartbeats + 1,
            state: WorkerState::Draining,
            ..self.entry.clone()
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Responds to a health probe, or runs a request and responds to it.
    fn handle(&self, request: &Request, conn: &TcpStream) -> Reply {
        if request.path() == crate::config::HEALTH_PATH {
            let fault = self.lock().fault;
            match fault {
                WorkerFault::FloodsProbes => {
                    return endless_body(&health_response(&self.health()));
                }
                WorkerFault::RefusesProbes(delay) => return self.refuse_probe(delay),
                _ => {}
            }
            return Reply::Response(health_response(&self.health()));
        }
        let head = read_forwarded_head(request);
        if head
            .expected_worker
            .is_some_and(|expected| *expected != *self.id)
        {
            return Reply::Response(misdirected_response(&self.id, head.id.as_deref()));
        }
        let Some(id) = head.id else {
            return Reply::Response(Response::new(400));
        };
        let end = Instant::now() + Duration::from(head.time_left);
        let arrival = self.executions.arrive(Arrival {
            accounts: head.accounts.clone(),
            at: Instant::now(),
            cold: self.is_cold(),
            // Without an address the request counts as nobody's.
            from: conn.peer_addr().ok().map(|address| address.ip()),
            has_key: head.has_key,
            response: None,
            request: id.clone(),
            worker: self.id.clone(),
        });
        if self.refuses_this(&id, conn) {
            return Reply::Response(not_run_response(Some(&id)));
        }
        if self.lock().fault == WorkerFault::FloodsRefusal {
            return endless_body(&not_run_response(Some(&id)));
        }
        let retry_after = self.lock().turning_away;
        if retry_after.is_some() || !self.take_slot(end) {
            let notice = Notice {
                retry_after,
                ..self.notice()
            };
            let mut response = not_run_response(Some(&id));
            add_notice(&mut response.headers, notice);
            response.body = b"no room".to_vec();
            self.record_answer(arrival, notice);
            let fault = self.lock().fault;
            return if fault == WorkerFault::Truncates {
                truncated(&response)
            } else {
                Reply::Response(response)
            };
        }

        let execution = self.executions.begin(Execution {
            accounts: head.accounts,
            began: Instant::now(),
            cold: self.is_cold(),
            finished: false,
            has_key: head.has_key,
            request: id.clone(),
            worker: self.id.clone(),
        });
        let result = self.work(conn, end);
        let (fault, last_request) = {
            let mut state = self.lock();
            state.running -= 1;
            (state.fault, state.last_request.replace(id.clone()))
        };
        self.slot_free.notify_one();
        if self.lock().crash_path.as_deref() == Some(request.path()) {
            return Reply::Crash(CRASH_TIME);
        }
        match result {
            WorkResult::Disconnected => Reply::Close,
            WorkResult::TimedOut => {
                let mut response = Response::new(504);
                sign_response(&mut response, &id, self.load(&self.lock()));
                let notice = self.notice();
                add_notice(&mut response.headers, notice);
                self.record_answer(arrival, notice);
                Reply::Response(response)
            }
            WorkResult::Finished => {
                self.executions.finish(execution);
                let notice = self.notice();
                self.record_answer(arrival, notice);
                self.reply(request, &id, fault, last_request, notice)
            }
        }
    }

    /// Whether a worker with the fault [`WorkerFault::RepeatsRefusal`] refuses this request. If not,
    /// it sends a copy of its last refusal.
    fn refuses_this(&self, id: &str, mut conn: &TcpStream) -> bool {
        let mut state = self.lock();
        if state.fault != WorkerFault::RepeatsRefusal {
            return false;
        }
        state.started += 1;
        if state.started.is_multiple_of(REFUSED_ONE_IN) {
            state.last_refused = Some(id.to_owned());
            return true;
        }
        if state.last_refused.is_some() {
            let mut copy = Vec::new();
            not_run_response(state.last_refused.as_deref()).encode(&mut copy, false);
            // A caller that is gone gets no response either.
            let _ = conn.write_all(&copy);
        }
        false
    }

    /// Turns a health probe away after a time, and asks for what [`Upstream::turn_away`] says.
    fn refuse_probe(&self, delay: Duration) -> Reply {
        thread::sleep(delay);
        let mut response = not_run_response(None);
        let notice = Notice {
            retry_after: self.lock().turning_away,
            ..Notice::default()
        };
        add_notice(&mut response.headers, notice);
        Reply::Response(response)
    }

    /// What its responses to requests that it runs ask of the daemons now.
    fn notice(&self) -> Notice {
        self.lock().notice
    }

    /// Records that the response to a request is about to be sent.
    fn record_answer(&self, arrival: usize, notice: Notice) {
        let response = Answer {
            at: Instant::now(),
            notice,
        };
        self.executions.answer(arrival, response);
    }

    fn health(&self) -> HealthReport {
        let state = self.lock();
        let cold_remaining = state
            .cold_end
            .map(|end| end.saturating_duration_since(Instant::now()));
        HealthReport {
            cold_remaining: Some(cold_remaining.unwrap_or_default().into()),
            healthy: state.healthy,
            id: Some(self.id.clone()),
            load: Some(self.load(&state)),
            notice: Notice::default(),
        }
    }

    fn is_cold(&self) -> bool {
        self.lock().cold_end.is_some_and(|end| end > Instant::now())
    }

    fn load(&self, state: &State) -> LoadReport {
        LoadReport {
            latency_percent: state.latency_percent,
            running: state.running,
            slots: self.slots,
            waiting: state.waiting,
        }
    }

    /// Waits for a slot; returns false if the queue is full or the deadline passes first.
    fn take_slot(&self, end: Instant) -> bool {
        let mut state = self.lock();
        if state.waiting >= MAX_WAITING {
            return false;
        }
        state.waiting += 1;
        while state.running >= self.slots {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                state.waiting -= 1;
                return false;
            }
            let waited = self.slot_free.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.waiting -= 1;
        state.running += 1;
        true
    }

    /// Occupies a slot for as long as the request takes, or until its deadline `end`.
    fn work(&self, conn: &TcpStream, end: Instant) -> WorkResult {
        let (latency_percent, fault) = {
            let state = self.lock();
            (state.latency_percent, state.fault)
        };
        let factor = if let WorkerFault::Slow(factor) = fault {
            factor
        } else {
            1
        };
        let done = Instant::now() + self.work_time * latency_percent / NORMAL_PERCENT * factor;
        loop {
            let now = Instant::now();
            if now >= done {
                return WorkResult::Finished;
            }
            if now >= end {
                return WorkResult::TimedOut;
            }
            if is_closed(conn) {
                return WorkResult::Disconnected;
            }
            thread::sleep(POLL_INTERVAL.min(done.min(end) - now));
        }
    }

    /// Builds the reply to a request that was executed; the fault, if any, corrupts it.
    fn reply(
        &self,
        request: &Request,
        id: &str,
        fault: WorkerFault,
        last_request: Option<String>,
        notice: Notice,
    ) -> Reply {
        let (load, body_bytes, refused) = {
            let state = self.lock();
            (
                self.load(&state),
                state.body_bytes,
                state.last_refused.clone(),
            )
        };
        let mut response = Response::new(if fault == WorkerFault::Errors {
            500
        } else {
            200
        });
        response.body = format!("{} {}", self.id, request.target).into_bytes();
        let length = response.body.len().max(body_bytes);
        response.body.resize(length, b'.');
        sign_response(&mut response, id, load);
        add_notice(&mut response.headers, notice);
        let late_response = || {
            let mut extra = Response::new(200);
            extra.body = b"late".to_vec();
            let id = last_request.as_deref().unwrap_or("none");
            sign_response(&mut extra, id, load);
            extra
        };
        fault.reply(&response, late_response, refused.as_deref())
    }
}

/// Returns whether the other end has closed the connection.
fn is_closed(conn: &TcpStream) -> bool {
    if conn.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = conn.peek(&mut [0]);
    let blocking = conn.set_nonblocking(false);
    match peeked {
        Ok(size) => size == 0 || blocking.is_err(),
        Err(error) => error.kind() != ErrorKind::WouldBlock || blocking.is_err(),
    }
}
