//! The platform's store.

use {
    crate::server::{Reaction, Server},
    platform::standin::{
        ReceivedCall, StoredObject, config_key, evacuation_kind, events_response, object_response,
        page_response, read_store_call, worker_kind, worker_spec,
    },
    serde_json::Value,
    site::{Config, Rev, Worker},
    std::{
        collections::BTreeMap,
        io,
        net::{Ipv4Addr, SocketAddrV4},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
    unit::Name,
    wire::{Request, Response},
};

/// Objects on one page of a list.
const PAGE: usize = 50;

/// How the store treats its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It answers 503 and does nothing.
    Unavailable,
    /// It ends every connection.
    Closes,
    /// It never answers.
    Hangs,
    /// It takes this long for each answer.
    Slow(Duration),
    /// It answers.
    #[default]
    None,
}

struct Event {
    deleted: bool,
    kind: String,
    object: StoredObject,
}

#[derive(Default)]
struct State {
    calls: u64,
    /// The newest revision whose history is gone.
    forgotten: Rev,
    history: Vec<Event>,
    /// Writes that are still to be done without an answer.
    losses: u32,
    mood: StoreFault,
    objects: BTreeMap<(String, Name), StoredObject>,
    rev: Rev,
}

#[derive(Default)]
struct Shared {
    changed: Condvar,
    state: Mutex<State>,
}

/// A store in this process.
pub struct Store {
    /// Where it is reached.
    pub address: SocketAddrV4,
    server: Server,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// Fails where no port can be had.
    pub fn start() -> io::Result<Self> {
        let shared: Arc<Shared> = Arc::default();
        shared.lock().rev = Rev(1);
        let own = Arc::clone(&shared);
        let handler = move |request: &Request, _: &std::net::TcpStream| own.react(request);
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let server = Server::start(address, Arc::new(handler))?;
        Ok(Self {
            address: server.address,
            server,
            shared,
        })
    }

    /// Writes the configuration.
    pub fn put_config(&self, config: &Config) {
        let (kind, name) = config_key();
        self.put(kind, name, platform::encode_config(config, None));
    }

    /// Writes a worker's entry.
    pub fn put_worker(&self, worker: &Worker) {
        self.put(worker_kind(), &worker.id, worker_spec(worker));
    }

    /// Removes a worker's entry.
    pub fn remove_worker(&self, id: &str) {
        self.remove(worker_kind(), id);
    }

    /// Evacuates a data centre.
    pub fn evacuate(&self, centre: &str) {
        self.put(evacuation_kind(), centre, serde_json::json!({}));
    }

    /// Takes a data centre back.
    pub fn end_evacuation(&self, centre: &str) {
        self.remove(evacuation_kind(), centre);
    }

    /// Changes how the store treats its callers; calls under way are broken off.
    pub fn set_fault(&self, mood: StoreFault) {
        self.shared.lock().mood = mood;
        self.server.close_connections();
        self.shared.changed.notify_all();
    }

    /// Forgets the history, so that watches from before now must read everything anew.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.forgotten = state.rev;
        state.history.clear();
        drop(state);
        self.server.close_connections();
        self.shared.changed.notify_all();
    }

    /// Does the next `count` writes of daemons without answering them.
    pub fn drop_responses(&self, count: u32) {
        self.shared.lock().losses = count;
    }

    /// Calls so far, refused ones included.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// How many objects there are of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.shared.lock();
        state
            .objects
            .keys()
            .filter(|(other, _)| other == kind)
            .count()
    }

    /// Writes an object as another writer may, whatever its content.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.lock().put(kind, name.into(), spec);
        self.shared.changed.notify_all();
    }

    fn remove(&self, kind: &str, name: &str) {
        self.shared.lock().remove(kind, &name.into());
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn react(&self, request: &Request) -> Reaction {
        let mood = {
            let mut state = self.lock();
            state.calls += 1;
            state.mood
        };
        match mood {
            StoreFault::Unavailable => return Reaction::Answer(Response::new(503)),
            StoreFault::Closes => return Reaction::Close,
            StoreFault::Hangs => return Reaction::Silence,
            StoreFault::Slow(span) => thread::sleep(span),
            StoreFault::None => {}
        }
        let Some(call) = read_store_call(request) else {
            return Reaction::Answer(Response::new(400));
        };
        if let ReceivedCall::Watch { from, kind, wait } = &call {
            return self.watch(*from, kind, (*wait).into());
        }
        let mut state = self.lock();
        let write = !matches!(call, ReceivedCall::List { .. });
        let answer = state.apply(call);
        let lost = write && state.losses > 0;
        state.losses -= u32::from(lost);
        drop(state);
        self.changed.notify_all();
        if lost {
            Reaction::Silence
        } else {
            Reaction::Answer(answer)
        }
    }

    fn watch(&self, from: Rev, kind: &str, wait: Duration) -> Reaction {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if from < state.forgotten {
                return Reaction::Answer(Response::new(410));
            }
            if state.mood != StoreFault::None {
                return Reaction::Close;
            }
            let events = state.since(from, kind);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Reaction::Answer(events_response(&events, state.rev));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn apply(&mut self, call: ReceivedCall) -> Response {
        match call {
            ReceivedCall::Create { kind, name, spec } => {
                match self.objects.get(&(kind.clone(), name.clone())) {
                    Some(object) => object_response(409, object),
                    None => object_response(201, &self.put(&kind, name, spec)),
                }
            }
            ReceivedCall::Delete { kind, name, rev } => {
                self.conditional(&kind, &name, rev, |state| {
                    state.remove(&kind, &name);
                    Response::new(200)
                })
            }
            ReceivedCall::List { after, kind } => self.list(&kind, after.as_ref()),
            ReceivedCall::Replace {
                kind,
                name,
                rev,
                spec,
            } => self.conditional(&kind, &name, rev, |state| {
                object_response(200, &state.put(&kind, name.clone(), spec))
            }),
            ReceivedCall::Watch { .. } => Response::new(400),
        }
    }

    fn conditional(
        &mut self,
        kind: &str,
        name: &Name,
        rev: Option<Rev>,
        then: impl FnOnce(&mut Self) -> Response,
    ) -> Response {
        match self.objects.get(&(kind.to_owned(), name.clone())) {
            None => Response::new(404),
            Some(object) if rev.is_some_and(|rev| rev != object.rev) => {
                object_response(409, object)
            }
            Some(_) => then(self),
        }
    }

    fn list(&self, kind: &str, after: Option<&Name>) -> Response {
        let objects: Vec<StoredObject> = self
            .objects
            .iter()
            .filter(|((other, name), _)| other == kind && after.is_none_or(|after| name > after))
            .map(|(_, object)| object.clone())
            .collect();
        let page = &objects[..objects.len().min(PAGE)];
        page_response(page, objects.len() > PAGE, self.rev)
    }

    fn put(&mut self, kind: &str, name: Name, spec: Value) -> StoredObject {
        let key = (kind.to_owned(), name.clone());
        if let Some(same) = self.objects.get(&key).filter(|object| object.spec == spec) {
            return same.clone();
        }
        self.rev = Rev(self.rev.0 + 1);
        let object = StoredObject {
            name,
            rev: self.rev,
            spec,
        };
        self.objects.insert(key, object.clone());
        self.history.push(Event {
            deleted: false,
            kind: kind.to_owned(),
            object: object.clone(),
        });
        object
    }

    fn remove(&mut self, kind: &str, name: &Name) {
        let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.clone())) else {
            return;
        };
        self.rev = Rev(self.rev.0 + 1);
        object.rev = self.rev;
        self.history.push(Event {
            deleted: true,
            kind: kind.to_owned(),
            object,
        });
    }

    fn since(&self, from: Rev, kind: &str) -> Vec<(StoredObject, bool)> {
        let newer = self.history.iter();
        newer
            .filter(|event| event.kind == kind && event.object.rev > from)
            .map(|event| (event.object.clone(), event.deleted))
            .collect()
    }
}
