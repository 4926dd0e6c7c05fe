//! A stand-in for the platform's store: versioned objects, with lists, conditional writes and
//! watches.

use {
    crate::server::{Reply, Server},
    platform::standin::{
        ReceivedCall, StoredObject, config_key, evacuation_kind, events_response, object_response,
        page_response, read_store_call, set_era, worker_kind, worker_spec,
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

/// The maximum number of objects on a page of a list.
const PAGE_SIZE: usize = 50;

/// The fault that the store shows to its clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Responds with 503 and executes nothing.
    Unavailable,
    /// Closes every connection without a response.
    Closes,
    /// Never responds.
    Hangs,
    /// Executes each call after this delay; watches are closed without a response.
    Slow(Duration),
    /// Works normally.
    #[default]
    None,
}

/// A change to an object, as watches report it.
struct ObjectEvent {
    deleted: bool,
    kind: String,
    object: StoredObject,
}

/// A change that was made by [`Store`]'s own methods, as by an operator or a worker.
#[derive(Clone)]
enum OwnWrite {
    Put(String, Name, Value),
    Remove(String, Name),
}

/// A copy of the store's objects, and what its own methods have written since.
#[derive(Default)]
struct Backup {
    objects: BTreeMap<(String, Name), StoredObject>,
    rev: Rev,
    written: Vec<OwnWrite>,
}

/// The content of the store, and how it treats calls.
#[derive(Default)]
struct State {
    backup: Backup,
    /// The number of calls so far.
    calls: u64,
    /// The newest revision whose history is compacted; watches from before it get status 410.
    compacted: Rev,
    /// How often the store came back from a copy.
    era: u32,
    /// The changes since the last compaction, in the order of their revisions.
    history: Vec<ObjectEvent>,
    /// The number of further writes that are executed without a response.
    unanswered: u32,
    /// Whether the store comes back from its copy right after the next write.
    loses_next: bool,
    fault: StoreFault,
    /// The objects by kind and name.
    objects: BTreeMap<(String, Name), StoredObject>,
    /// The revision of the newest change.
    rev: Rev,
}

/// The state that the store shares with its server's threads.
#[derive(Default)]
struct Shared {
    /// Notified after each change that watches may wait for.
    changed: Condvar,
    state: Mutex<State>,
}

/// A store served by this process; dropping it stops it and closes its connections.
pub struct Store {
    /// The address on which the store listens.
    pub address: SocketAddrV4,
    server: Server,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start() -> io::Result<Self> {
        let shared: Arc<Shared> = Arc::default();
        shared.lock().rev.number = 1;
        let handler_shared = Arc::clone(&shared);
        let handler =
            move |request: &Request, _: &std::net::TcpStream| handler_shared.handle(request);
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

    /// Ends the evacuation of a data centre.
    pub fn end_evacuation(&self, centre: &str) {
        self.remove(evacuation_kind(), centre);
    }

    /// Sets the fault (`StoreFault::None` ends it) and closes all connections, which breaks off the
    /// calls in progress.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
        self.server.close_connections();
        self.shared.changed.notify_all();
    }

    /// Drops the history of changes, so that clients watching from an earlier revision must list
    /// all objects again, and closes all connections.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.compacted = state.rev;
        state.history.clear();
        drop(state);
        self.server.close_connections();
        self.shared.changed.notify_all();
    }

    /// Copies the objects, for [`Self::restore`].
    pub fn back_up(&self) {
        let mut state = self.shared.lock();
        state.backup = Backup {
            objects: state.objects.clone(),
            rev: state.rev,
            written: Vec::new(),
        };
    }

    /// Raises the revision, as by writes to objects that no daemon follows.
    pub fn skip_revisions(&self, count: u64) {
        let mut state = self.shared.lock();
        state.rev.number += count;
    }

    /// Goes back to the last copy, or to no objects if there is none, and closes all connections.
    /// Revisions that were given out since are given out again.
    pub fn restore(&self) {
        self.shared.lock().restore();
        self.server.close_connections();
        self.shared.changed.notify_all();
    }

    /// Goes back to the last copy right after the next write that a client makes.
    pub fn lose_next_write(&self) {
        self.shared.lock().loses_next = true;
    }

    /// Writes again what this type's own methods wrote between the last copy and now, as operators
    /// and workers do after a restore.
    pub fn write_again(&self) {
        let mut state = self.shared.lock();
        for write in state.backup.written.clone() {
            match write {
                OwnWrite::Put(kind, name, spec) => {
                    state.put(&kind, name, spec);
                }
                OwnWrite::Remove(kind, name) => state.remove(&kind, &name),
            }
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Executes the next `count` writes that clients send without responding to them.
    pub fn drop_responses(&self, count: u32) {
        self.shared.lock().unanswered = count;
    }

    /// Returns the number of calls so far, including those that were refused or dropped.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Returns the number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.shared.lock();
        state
            .objects
            .keys()
            .filter(|(other, _)| other == kind)
            .count()
    }

    /// Writes an object with any content, valid or not, as another client of the store could.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.shared.lock();
        let write = OwnWrite::Put(kind.to_owned(), name.into(), spec.clone());
        state.backup.written.push(write);
        state.put(kind, name.into(), spec);
        drop(state);
        self.shared.changed.notify_all();
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.lock();
        let write = OwnWrite::Remove(kind.to_owned(), name.into());
        state.backup.written.push(write);
        state.remove(kind, &name.into());
        drop(state);
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Executes a call and responds to it, with the store's era.
    fn handle(&self, request: &Request) -> Reply {
        match self.execute(request) {
            Reply::Response(mut response) => {
                set_era(&mut response, self.lock().era);
                Reply::Response(response)
            }
            other => other,
        }
    }

    /// Executes a call and responds to it, unless the fault in force prevents that.
    fn execute(&self, request: &Request) -> Reply {
        let fault = {
            let mut state = self.lock();
            state.calls += 1;
            state.fault
        };
        match fault {
            StoreFault::Unavailable => return Reply::Response(Response::new(503)),
            StoreFault::Closes => return Reply::Close,
            StoreFault::Hangs => return Reply::Hang,
            StoreFault::Slow(delay) => thread::sleep(delay),
            StoreFault::None => {}
        }
        let Some(call) = read_store_call(request) else {
            return Reply::Response(Response::new(400));
        };
        if let ReceivedCall::Watch { from, kind, wait } = &call {
            return self.watch(*from, kind, (*wait).into());
        }
        let mut state = self.lock();
        let write = !matches!(call, ReceivedCall::List { .. });
        let response = state.apply(call);
        if write && std::mem::take(&mut state.loses_next) {
            state.restore();
        }
        let dropped = write && state.unanswered > 0;
        state.unanswered -= u32::from(dropped);
        drop(state);
        self.changed.notify_all();
        if dropped {
            Reply::Hang
        } else {
            Reply::Response(response)
        }
    }

    /// Waits at most `timeout` for changes of a kind after revision `from`, and responds with them.
    fn watch(&self, from: Rev, kind: &str, timeout: Duration) -> Reply {
        let end = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if from < state.compacted || from > state.rev {
                return Reply::Response(Response::new(410));
            }
            if state.fault != StoreFault::None {
                return Reply::Close;
            }
            let events = state.events_since(from, kind);
            let remaining = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                return Reply::Response(events_response(&events, state.rev));
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    /// Goes back to the last copy.
    fn restore(&mut self) {
        self.era += 1;
        self.objects = self.backup.objects.clone();
        self.rev = self.backup.rev;
        let rev = self.rev;
        self.history.retain(|event| event.object.rev <= rev);
    }

    /// Executes a call other than a watch.
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

    /// Applies a write if the object exists and has revision `rev`, or any revision where `rev` is
    /// `None`.
    fn conditional(
        &mut self,
        kind: &str,
        name: &Name,
        rev: Option<Rev>,
        write: impl FnOnce(&mut Self) -> Response,
    ) -> Response {
        match self.objects.get(&(kind.to_owned(), name.clone())) {
            None => Response::new(404),
            Some(object) if rev.is_some_and(|rev| rev != object.rev) => {
                object_response(409, object)
            }
            Some(_) => write(self),
        }
    }

    /// Lists the first page of the objects of a kind whose names come after `after`.
    fn list(&self, kind: &str, after: Option<&Name>) -> Response {
        let objects: Vec<StoredObject> = self
            .objects
            .iter()
            .filter(|((other, name), _)| other == kind && after.is_none_or(|after| name > after))
            .map(|(_, object)| object.clone())
            .collect();
        let page = &objects[..objects.len().min(PAGE_SIZE)];
        page_response(page, objects.len() > PAGE_SIZE, self.rev)
    }

    /// Writes an object under a new revision, unless its content is the same already.
    fn put(&mut self, kind: &str, name: Name, spec: Value) -> StoredObject {
        let key = (kind.to_owned(), name.clone());
        if let Some(unchanged) = self.objects.get(&key).filter(|object| object.spec == spec) {
            return unchanged.clone();
        }
        self.rev.number += 1;
        let object = StoredObject {
            name,
            rev: self.rev,
            spec,
        };
        self.objects.insert(key, object.clone());
        self.history.push(ObjectEvent {
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
        self.rev.number += 1;
        object.rev = self.rev;
        self.history.push(ObjectEvent {
            deleted: true,
            kind: kind.to_owned(),
            object,
        });
    }

    /// Returns the objects of a kind that changed after a revision, each with whether it was
    /// deleted.
    fn events_since(&self, from: Rev, kind: &str) -> Vec<(StoredObject, bool)> {
        let newer = self.history.iter();
        newer
            .filter(|event| event.kind == kind && event.object.rev > from)
            .map(|event| (event.object.clone(), event.deleted))
            .collect()
    }
}
