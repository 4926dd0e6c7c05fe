//! One worker: slots, a queue, slow start, stalls, and the log of what it ran.

use {
    crate::mood::{Count, Mood},
    back::{Ready, wait},
    parking_lot::{Condvar, Mutex},
    std::{
        collections::VecDeque,
        net::TcpStream,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    wire::{Request, Response},
};

const SLICE: Duration = Duration::from_millis(2);
/// How much longer work takes while a cold worker has more than it bears.
const OVERLOAD: f64 = 10.0;

/// What a worker can bear.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Requests that it bears right after its start.
    pub cold: u32,
    /// Requests that wait before it sheds.
    pub queue: u32,
    /// Requests that it runs at once when warm.
    pub slots: u32,
}

struct State {
    /// Requests that the present life bears.
    bears: u32,
    count: Count,
    /// Answers since `bears` last grew.
    good: u32,
    held: u32,
    life: u64,
    mood: Mood,
    /// Connections that are never answered any more: their peers' ports.
    muted: Vec<u16>,
    open: Vec<u16>,
    probes: VecDeque<Instant>,
    running: u32,
    stalled: Option<Instant>,
}

/// A worker.
pub struct Worker {
    freed: Condvar,
    shape: Shape,
    state: Mutex<State>,
}

enum Work {
    Cancelled,
    Done,
    Expired,
}

impl Worker {
    /// A worker in its first life.
    pub fn new(shape: Shape) -> Self {
        let state = State {
            bears: shape.cold,
            count: Count {
                lives: 1,
                ..Count::default()
            },
            good: 0,
            held: 0,
            life: fastrand::u64(1..),
            mood: Mood::default(),
            muted: Vec::new(),
            open: Vec::new(),
            probes: VecDeque::new(),
            running: 0,
            stalled: None,
        };
        Self {
            freed: Condvar::new(),
            shape,
            state: Mutex::new(state),
        }
    }

    /// Begins a new life: cold, with nothing in hand.
    pub fn restart(&self) {
        let mut state = self.state.lock();
        state.life = fastrand::u64(1..);
        state.bears = self.shape.cold;
        state.good = 0;
        state.held = 0;
        state.running = 0;
        state.count.lives += 1;
        state.muted.clear();
    }

    /// Changes how it misbehaves.
    pub fn set_mood(&self, mood: Mood) {
        let mut state = self.state.lock();
        if mood.mute {
            state.muted = state.open.clone();
        }
        if mood.stall_ms > 0 {
            state.stalled = Some(Instant::now() + Duration::from_millis(mood.stall_ms));
        }
        state.mood = mood;
    }

    /// What it has counted.
    pub fn count(&self) -> Count {
        self.state.lock().count.clone()
    }

    /// Answers a request; `None` closes the connection.
    pub fn handle(&self, request: &Request, sock: &TcpStream) -> Option<Response> {
        let life = self.meet(sock);
        if self.is_muted(sock) {
            wait(&[], Some(sock), Instant::now() + Duration::from_secs(60));
            return None;
        }
        if request.headers.get("anvilferry-probe").is_some() {
            return Some(self.probe(life));
        }
        let response = self.work(request, sock, life)?;
        let label = request
            .headers
            .get("anvilferry-request")
            .unwrap_or_default();
        Some(
            response
                .with("Anvilferry-Boot", format!("{life:x}"))
                .with("Anvilferry-Request", label),
        )
    }

    fn meet(&self, sock: &TcpStream) -> u64 {
        let port = sock.peer_addr().map_or(0, |peer| peer.port());
        let mut state = self.state.lock();
        if !state.open.contains(&port) {
            state.open.push(port);
        }
        state.life
    }

    fn is_muted(&self, sock: &TcpStream) -> bool {
        let port = sock.peer_addr().map_or(0, |peer| peer.port());
        self.state.lock().muted.contains(&port)
    }

    fn probe(&self, life: u64) -> Response {
        let mut state = self.state.lock();
        let now = Instant::now();
        state.probes.push_back(now);
        while state
            .probes
            .front()
            .is_some_and(|at| now - *at >= Duration::from_secs(1))
        {
            state.probes.pop_front();
        }
        state.count.probes += 1;
        state.count.probes_most = state.count.probes_most.max(state.probes.len() as u64);
        let body = format!("{{\"held\":{}}}", state.held);
        Response::json(200, body).with("Anvilferry-Boot", format!("{life:x}"))
    }

    fn work(&self, request: &Request, sock: &TcpStream, life: u64) -> Option<Response> {
        let expires = expires(request);
        let mut factor = {
            let mut state = self.state.lock();
            if state.mood.failing {
                return Some(Response::text(500, "failing"));
            }
            let full = state.held >= self.shape.slots + self.shape.queue;
            let late = expires.is_some_and(|at| SystemTime::now() >= at);
            if full || late || state.mood.draining {
                state.count.shed += 1;
                let draining = u8::from(state.mood.draining);
                let response = Response::text(503, "not run")
                    .with("Anvilferry-Outcome", "not-run")
                    .with("Anvilferry-Draining", draining);
                return Some(response);
            }
            state.held += 1;
            let over = state.held > state.bears && state.bears < self.shape.slots;
            state.count.over += u64::from(over);
            if over { OVERLOAD } else { 1.0 }
        };
        let mut begun = None;
        let mut work = self.queue_for_slot(sock, expires, life);
        if matches!(work, Work::Done) {
            begun = Some(Instant::now());
            factor *= self.begin(request);
            work = self.run(request, sock, expires, factor, life);
        }
        self.end(life, begun, &work);
        match work {
            Work::Cancelled => None,
            Work::Done => answer_or_break(request),
            Work::Expired => Some(Response::text(504, "expired")),
        }
    }

    fn queue_for_slot(&self, sock: &TcpStream, expires: Option<SystemTime>, life: u64) -> Work {
        let mut state = self.state.lock();
        loop {
            if state.life != life {
                return Work::Cancelled;
            }
            if state.running < self.shape.slots {
                state.running += 1;
                return Work::Done;
            }
            self.freed.wait_for(&mut state, SLICE);
            if expires.is_some_and(|at| SystemTime::now() >= at) {
                return Work::Expired;
            }
            if wait(&[], Some(sock), Instant::now()) == Ready::Caller {
                return Work::Cancelled;
            }
        }
    }

    fn begin(&self, request: &Request) -> f64 {
        let mut state = self.state.lock();
        state.count.ran += 1;
        state.count.last_ms = unix_millis();
        if let Some(key) = request.headers.get("idempotency-key") {
            *state.count.keys.entry(key.to_owned()).or_default() += 1;
        }
        state.mood.slowness
    }

    fn run(
        &self,
        request: &Request,
        sock: &TcpStream,
        expires: Option<SystemTime>,
        factor: f64,
        life: u64,
    ) -> Work {
        let micros: f64 = request
            .headers
            .get("x-work-us")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        let mut end = Instant::now() + Duration::from_micros((micros * factor) as u64);
        loop {
            let stalled = self.state.lock().stalled;
            if let Some(until) = stalled.filter(|until| *until > Instant::now()) {
                end = end.max(until);
            }
            let now = Instant::now();
            if self.state.lock().life != life {
                return Work::Cancelled;
            }
            if now >= end {
                return Work::Done;
            }
            let slice = now + Duration::from_millis(20);
            if wait(&[], Some(sock), end.min(slice)) == Ready::Caller {
                return Work::Cancelled;
            }
            if expires.is_some_and(|at| SystemTime::now() >= at) {
                return Work::Expired;
            }
        }
    }

    fn end(&self, life: u64, begun: Option<Instant>, work: &Work) {
        let mut state = self.state.lock();
        if !matches!(work, Work::Done) {
            state.count.cancelled += 1;
            let spent = begun.map_or(Duration::ZERO, |at| at.elapsed());
            state.count.wasted_us += u64::try_from(spent.as_micros()).unwrap_or_default();
        }
        if state.life != life {
            return;
        }
        state.held -= 1;
        state.running -= u32::from(begun.is_some());
        if matches!(work, Work::Done) {
            self.warm_up(&mut state);
        }
        drop(state);
        self.freed.notify_one();
    }

    /// Doubles what it bears after four answers for each request that it bears.
    fn warm_up(&self, state: &mut State) {
        state.good += 1;
        if state.bears < self.shape.slots && state.good >= state.bears * 4 {
            state.good = 0;
            state.bears = (state.bears * 2).min(self.shape.slots);
        }
    }
}

/// The answer, or none where the request asks for the connection to break off.
fn answer_or_break(request: &Request) -> Option<Response> {
    request
        .headers
        .get("x-break")
        .is_none()
        .then(|| answer(request))
}

fn answer(request: &Request) -> Response {
    let text = request.headers.get("x-echo").unwrap_or("done");
    let size = request
        .headers
        .get("x-answer-bytes")
        .and_then(|text| text.parse().ok());
    let mut body = text.as_bytes().to_vec();
    body.resize(size.unwrap_or(body.len()), b'.');
    Response::new(200, "text/plain", body)
}

fn expires(request: &Request) -> Option<SystemTime> {
    let millis = request
        .headers
        .get("anvilferry-expires-unix-ms")?
        .parse()
        .ok()?;
    Some(UNIX_EPOCH + Duration::from_millis(millis))
}

fn unix_millis() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or_default()
}
