//! The platform's object API, with injected faults.
//!
//! `GET|PUT|DELETE /v1/objects/NAME`, `GET /v1/vms`; `?after=V&wait_ms=N` waits for a newer
//! version, `?if_version=V` makes a write conditional. `POST /admin/vms` and `POST /admin/faults`
//! set the list and the faults; `GET /admin/stats` counts calls.

use {
    crate::StandinError,
    conf::VmList,
    parking_lot::{Condvar, Mutex},
    plat::Object,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io::{Read, Write},
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tiny_http::{Method, Request, Response, Server},
};

const THREADS: usize = 96;
const BODY: u64 = 4 << 20;

/// What goes wrong.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is cut off without an answer.
    pub down: bool,
    /// So many of the next writes take effect, and their answers are lost.
    pub lose: u32,
    /// Calls in a second above which they are refused; 0 for no limit.
    pub rate: u32,
    /// How long each call takes, in milliseconds.
    pub slow_ms: u64,
    /// Watches never end, and give no events.
    pub stuck: bool,
}

/// Calls so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// All calls.
    pub calls: u64,
    /// Calls that waited for a newer version.
    pub watches: u64,
    /// Writes that took effect.
    pub writes: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    objects: BTreeMap<String, Object>,
    /// Calls in the present second.
    second: (u32, Option<Instant>),
    stats: Stats,
    vms: VmList,
}

#[derive(Default)]
struct Platform {
    changed: Condvar,
    state: Mutex<State>,
}

struct Reply {
    body: String,
    status: u16,
}

/// Serves until the process ends.
///
/// # Errors
/// Fails where the address can't be bound.
pub fn run(listen: SocketAddr) -> Result<(), StandinError> {
    let server = Server::http(listen).map_err(|error| std::io::Error::other(error.to_string()))?;
    let server = Arc::new(server);
    let platform = Arc::new(Platform::default());
    if let Some(address) = server.server_addr().to_ip() {
        println!("ready platform={address}");
        std::io::stdout().flush()?;
    }
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let (server, platform) = (Arc::clone(&server), Arc::clone(&platform));
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    platform.serve(request);
                }
            })
        })
        .collect();
    for thread in threads {
        drop(thread.join());
    }
    Ok(())
}

impl Platform {
    fn serve(&self, mut request: Request) {
        let mut body = String::new();
        drop(request.as_reader().take(BODY).read_to_string(&mut body));
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        if let Some(path) = path.strip_prefix("/admin/") {
            let reply = self.admin(path, &body);
            return answer(request, &reply);
        }
        if !self.admit() {
            return drop(request.into_writer());
        }
        if self.limited() {
            return answer(request, &status(429));
        }
        let query = Query::parse(query);
        let (reply, lost) = self.api(request.method(), path, &query, &body);
        if lost {
            drop(request.into_writer());
        } else {
            answer(request, &reply);
        }
    }

    /// Counts a call and takes its time; `false` while the platform is down.
    fn admit(&self) -> bool {
        let slow = {
            let mut state = self.state.lock();
            state.stats.calls += 1;
            if state.faults.down {
                return false;
            }
            state.faults.slow_ms
        };
        thread::sleep(Duration::from_millis(slow));
        true
    }

    fn limited(&self) -> bool {
        let mut state = self.state.lock();
        let now = Instant::now();
        let over = state
            .second
            .1
            .is_none_or(|at| now - at >= Duration::from_secs(1));
        if over {
            state.second = (0, Some(now));
        }
        state.second.0 += 1;
        state.faults.rate > 0 && state.second.0 > state.faults.rate
    }

    fn admin(&self, path: &str, body: &str) -> Reply {
        let mut state = self.state.lock();
        let reply = match path {
            "faults" => match serde_json::from_str(body) {
                Ok(faults) => {
                    state.faults = faults;
                    status(204)
                }
                Err(_) => status(400),
            },
            "stats" => json(200, &state.stats),
            "vms" => match serde_json::from_str(body) {
                Ok(vms) => {
                    let version = state.vms.version + 1;
                    state.vms = VmList { version, vms };
                    status(204)
                }
                Err(_) => status(400),
            },
            _ => status(404),
        };
        drop(state);
        self.changed.notify_all();
        reply
    }

    /// Answers a call; the flag says that the answer is to be lost.
    fn api(&self, method: &Method, path: &str, query: &Query, body: &str) -> (Reply, bool) {
        if path == "/v1/vms" {
            return (self.vms(query), false);
        }
        let Some(name) = path.strip_prefix("/v1/objects/") else {
            return (status(404), false);
        };
        match method {
            Method::Get => (self.read(name, query), false),
            Method::Put => self.write(name, query, body),
            Method::Delete => {
                self.state.lock().objects.remove(name);
                (status(204), false)
            }
            _ => (status(405), false),
        }
    }

    fn vms(&self, query: &Query) -> Reply {
        let newer = |state: &State| (state.vms.version > query.after).then(|| state.vms.clone());
        match self.wait(query, newer) {
            Some(vms) => json(200, &vms),
            None => status(204),
        }
    }

    fn read(&self, name: &str, query: &Query) -> Reply {
        let newer = |state: &State| {
            let object = state.objects.get(name);
            object
                .filter(|object| object.version > query.after)
                .cloned()
        };
        match self.wait(query, newer) {
            Some(object) => json(200, &object),
            None if query.after > 0 || query.wait > Duration::ZERO => status(204),
            None => status(404),
        }
    }

    /// Waits for what `find` finds, as long as the query says.
    fn wait<T>(&self, query: &Query, find: impl Fn(&State) -> Option<T>) -> Option<T> {
        let end = Instant::now() + query.wait;
        let mut state = self.state.lock();
        if query.wait > Duration::ZERO {
            state.stats.watches += 1;
        }
        loop {
            let found = find(&state).filter(|_| !state.faults.stuck || query.wait.is_zero());
            let left = end.saturating_duration_since(Instant::now());
            if found.is_some() || (left.is_zero() && !state.faults.stuck) || query.wait.is_zero() {
                return found;
            }
            let slice = left.clamp(Duration::from_millis(1), Duration::from_millis(200));
            self.changed.wait_for(&mut state, slice);
        }
    }

    fn write(&self, name: &str, query: &Query, body: &str) -> (Reply, bool) {
        let mut state = self.state.lock();
        let held = state.objects.get(name).map_or(0, |object| object.version);
        if query.base.is_some_and(|base| base != held) {
            let value = String::new();
            let version = held;
            return (json(409, &Object { value, version }), false);
        }
        let version = held + 1;
        let value = body.to_owned();
        state
            .objects
            .insert(name.to_owned(), Object { value, version });
        state.stats.writes += 1;
        let lost = state.faults.lose > 0;
        state.faults.lose = state.faults.lose.saturating_sub(1);
        drop(state);
        self.changed.notify_all();
        let value = String::new();
        (json(200, &Object { value, version }), lost)
    }
}

#[derive(Default)]
struct Query {
    after: u64,
    base: Option<u64>,
    wait: Duration,
}

impl Query {
    fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for (key, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            let number = value.parse().unwrap_or_default();
            match key {
                "after" => query.after = number,
                "if_version" => query.base = Some(number),
                "wait_ms" => query.wait = Duration::from_millis(number),
                _ => {}
            }
        }
        query
    }
}

fn status(status: u16) -> Reply {
    let body = String::new();
    Reply { body, status }
}

fn json(status: u16, value: &impl Serialize) -> Reply {
    let body = serde_json::to_string(value).unwrap_or_default();
    Reply { body, status }
}

fn answer(request: Request, reply: &Reply) {
    let response = Response::from_string(reply.body.clone()).with_status_code(reply.status);
    drop(request.respond(response));
}
