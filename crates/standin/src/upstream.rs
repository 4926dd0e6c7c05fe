//! A worker.

use {
    crate::{
        execution_log::{Execution, ExecutionLog},
        server::{Reaction, Server},
    },
    platform::standin::{
        health_response, misdirected_response, not_run_response, read_forwarded_head, sign_response,
    },
    site::{HealthReport, LoadReport, Worker, WorkerState},
    std::{
        io::{self, ErrorKind},
        net::{Ipv4Addr, SocketAddrV4, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
    unit::{Name, Span},
    wire::{Request, Response},
};

/// Requests that wait for a slot at most.
const QUEUE: u32 = 8;
/// How often a worker looks whether its caller went away.
const LOOK: Duration = Duration::from_millis(5);
const USUAL: u32 = 100;

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// It answers with errors of its own.
    Errors,
    /// It sends an answer that was asked for earlier before each answer.
    ExtraResponse,
    /// It runs requests and never answers.
    Hangs,
    /// Nothing.
    #[default]
    None,
    /// It ends the connection in place of an answer to a request that it ran.
    Resets,
    /// It takes this many times as long, and doesn't say so.
    Slow(u32),
    /// It cuts its answers short.
    Truncates,
}

/// How work on a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Worked {
    Done,
    /// The caller went away.
    Gone,
    /// The time ran out.
    Late,
}

#[derive(Debug)]
struct Desk {
    cold: Option<Instant>,
    fault: WorkerFault,
    healthy: bool,
    last: Option<String>,
    pace: u32,
    running: u32,
    waiting: u32,
}

struct Shared {
    desk: Mutex<Desk>,
    free: Condvar,
    id: Name,
    executions: ExecutionLog,
    slots: u32,
    work: Duration,
}

/// A worker in this process; it ends when it is dropped.
pub struct Upstream {
    /// Its entry in the store.
    pub entry: Worker,
    server: Server,
    shared: Arc<Shared>,
}

impl Upstream {
    /// Starts a worker of `service` in `centre` whose requests take `work`.
    ///
    /// # Errors
    /// Fails where no port can be had.
    pub fn start(
        id: &str,
        service: &str,
        centre: &str,
        work: Duration,
        executions: &ExecutionLog,
    ) -> io::Result<Self> {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self::start_at(address, id, service, centre, work, executions)
    }

    /// Starts a worker at an address, which may have been another's.
    ///
    /// # Errors
    /// Fails where the address can't be had.
    pub fn start_at(
        address: SocketAddrV4,
        id: &str,
        service: &str,
        centre: &str,
        work: Duration,
        executions: &ExecutionLog,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            desk: Mutex::new(Desk {
                cold: None,
                fault: WorkerFault::None,
                healthy: true,
                last: None,
                pace: USUAL,
                running: 0,
                waiting: 0,
            }),
            free: Condvar::new(),
            id: id.into(),
            executions: executions.clone(),
            slots: 4,
            work,
        });
        let own = Arc::clone(&shared);
        let handler = move |request: &Request, conn: &TcpStream| own.react(request, conn);
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
            },
            server,
            shared,
        })
    }

    /// Makes something go wrong, or right again.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.shared.lock().fault = fault;
    }

    /// Makes the machine slower, in percent of the usual time, and says so.
    pub fn set_latency_percent(&self, pace: u32) {
        self.shared.lock().pace = pace;
    }

    /// Makes the worker cold for a while.
    pub fn set_cold(&self, span: Duration) {
        self.shared.lock().cold = Some(Instant::now() + span);
    }

    /// Makes the health endpoint call the worker well or ill.
    pub fn set_healthy(&self, healthy: bool) {
        self.shared.lock().healthy = healthy;
    }

    /// Ends all connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Its entry as it leaves.
    pub fn draining_entry(&self) -> Worker {
        Worker {
            heartbeats: self.entry.heartbeats + 1,
            state: WorkerState::Draining,
            ..self.entry.clone()
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn react(&self, request: &Request, conn: &TcpStream) -> Reaction {
        if request.path() == crate::config::HEALTH_PATH {
            return Reaction::Answer(health_response(&self.health()));
        }
        let head = read_forwarded_head(request);
        if head
            .expected_worker
            .is_some_and(|expect| *expect != *self.id)
        {
            return Reaction::Answer(misdirected_response(&self.id));
        }
        let Some(id) = head.id else {
            return Reaction::Answer(Response::new(400));
        };
        let end = Instant::now() + Duration::from(head.time_left);
        if !self.take_slot(end) {
            return Reaction::Answer(not_run_response());
        }
        let at = self.executions.begin(Execution {
            began: Instant::now(),
            cold: self.is_cold(),
            finished: false,
            request: id.clone(),
            worker: self.id.clone(),
        });
        let worked = self.work(conn, end);
        let (fault, last) = {
            let mut desk = self.lock();
            desk.running -= 1;
            (desk.fault, desk.last.replace(id.clone()))
        };
        self.free.notify_one();
        match worked {
            Worked::Gone => Reaction::Close,
            Worked::Late => {
                let mut response = Response::new(504);
                sign_response(&mut response, &id, self.load(&self.lock()));
                Reaction::Answer(response)
            }
            Worked::Done => {
                self.executions.finish(at);
                self.answer(request, &id, fault, last)
            }
        }
    }

    fn health(&self) -> HealthReport {
        let desk = self.lock();
        let cold = desk
            .cold
            .map(|at| at.saturating_duration_since(Instant::now()));
        HealthReport {
            cold_remaining: cold.unwrap_or_default().into(),
            healthy: desk.healthy,
            id: Some(self.id.clone()),
            load: Some(self.load(&desk)),
        }
    }

    fn is_cold(&self) -> bool {
        self.lock().cold.is_some_and(|at| at > Instant::now())
    }

    fn load(&self, desk: &Desk) -> LoadReport {
        LoadReport {
            latency_percent: desk.pace,
            running: desk.running,
            slots: self.slots,
            waiting: desk.waiting,
        }
    }

    /// Waits for a slot; false where there is no room or no time.
    fn take_slot(&self, end: Instant) -> bool {
        let mut desk = self.lock();
        if desk.waiting >= QUEUE {
            return false;
        }
        desk.waiting += 1;
        while desk.running >= self.slots {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                desk.waiting -= 1;
                return false;
            }
            let waited = self.free.wait_timeout(desk, left);
            desk = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        desk.waiting -= 1;
        desk.running += 1;
        true
    }

    fn work(&self, conn: &TcpStream, end: Instant) -> Worked {
        let (pace, fault) = {
            let desk = self.lock();
            (desk.pace, desk.fault)
        };
        let factor = if let WorkerFault::Slow(factor) = fault {
            factor
        } else {
            1
        };
        let done = Instant::now() + self.work * pace / USUAL * factor;
        loop {
            let now = Instant::now();
            if now >= done {
                return Worked::Done;
            }
            if now >= end {
                return Worked::Late;
            }
            if gone(conn) {
                return Worked::Gone;
            }
            thread::sleep(LOOK.min(done.min(end) - now));
        }
    }

    fn answer(
        &self,
        request: &Request,
        id: &str,
        fault: WorkerFault,
        last: Option<String>,
    ) -> Reaction {
        let load = self.load(&self.lock());
        let mut response = Response::new(if fault == WorkerFault::Errors {
            500
        } else {
            200
        });
        response.body = format!("{} {}", self.id, request.target).into_bytes();
        sign_response(&mut response, id, load);
        match fault {
            WorkerFault::Errors | WorkerFault::None | WorkerFault::Slow(_) => {
                Reaction::Answer(response)
            }
            WorkerFault::ExtraResponse => {
                let mut late = Response::new(200);
                late.body = b"late".to_vec();
                sign_response(&mut late, &last.unwrap_or_else(|| "none".to_owned()), load);
                let mut bytes = Vec::new();
                late.encode(&mut bytes, false);
                response.encode(&mut bytes, false);
                Reaction::Bytes(bytes)
            }
            WorkerFault::Hangs => Reaction::Silence,
            WorkerFault::Resets => Reaction::Close,
            WorkerFault::Truncates => {
                let mut bytes = Vec::new();
                response.encode(&mut bytes, false);
                bytes.pop();
                Reaction::Bytes(bytes)
            }
        }
    }
}

/// Whether the other end has closed the connection.
fn gone(conn: &TcpStream) -> bool {
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
