//! A stand-in for the platform's store: versioned objects, with lists, conditional writes and
//! watches.

mod state;

use {
    crate::server::{Reply, Server, endless_body},
    platform::standin::{
        ReceivedCall, config_key, evacuation_kind, events_response, read_store_call, rollout_kind,
        rollout_spec, set_era, worker_kind, worker_spec,
    },
    serde_json::Value,
    site::{ApiKeys, Config, Rev, Rollout, Worker},
    state::{OwnWrite, State},
    std::{
        io,
        net::{Ipv4Addr, SocketAddrV4},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
    wire::{Request, Response},
};

/// The maximum number of objects on a page of a list.
pub const PAGE_SIZE: usize = 50;

/// The fault that the store shows to its clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Responds with 503 and executes nothing.
    Unavailable,
    /// Closes every connection without a response.
    Closes,
    /// Sends a response whose body never ends.
    Floods,
    /// Never responds.
    Hangs,
    /// Never responds, and leaves connections open when it begins and ends. What was received before
    /// is answered after it, unless the response was due meanwhile.
    Silent,
    /// Executes each call after this delay; watches are closed without a response.
    Slow(Duration),
    /// Works normally.
    #[default]
    None,
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

    /// Writes a configuration without client accounts.
    pub fn put_config(&self, config: &Config) {
        self.put_config_with(config, &ApiKeys::default());
    }

    /// Writes a configuration with the keys of its client accounts.
    pub fn put_config_with(&self, config: &Config, keys: &ApiKeys) {
        let (kind, name) = config_key();
        self.put(kind, name, platform::encode_config(config, None, keys));
    }

    /// Writes a worker's entry.
    pub fn put_worker(&self, worker: &Worker) {
        self.put(worker_kind(), &worker.id, worker_spec(worker));
    }

    /// Writes a page of entries among those of the workers, as another writer could, whose names have an
    /// odd end.
    pub fn put_odd_entries(&self, odd: char) {
        for place in 0..PAGE_SIZE {
            let name = format!("a-{place:02}{odd}");
            self.put(worker_kind(), &name, serde_json::json!({"state": "odd"}));
        }
    }

    /// Removes what [`Self::put_odd_entries`] wrote.
    pub fn remove_odd_entries(&self, odd: char) {
        for place in 0..PAGE_SIZE {
            self.remove_worker(&format!("a-{place:02}{odd}"));
        }
    }

    /// Writes a rollout's object.
    pub fn put_rollout(&self, rollout: &Rollout) {
        self.put(rollout_kind(), &rollout.name, rollout_spec(rollout));
    }

    /// The status of a rollout's object; null if there is none.
    pub fn rollout_status(&self, name: &str) -> Value {
        let key = (rollout_kind().to_owned(), name.into());
        let state = self.shared.lock();
        let object = state.objects.get(&key);
        object.map_or(Value::Null, |object| object.status.clone())
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
    /// calls in progress. A silence begins and ends without that.
    pub fn set_fault(&self, fault: StoreFault) {
        let former = std::mem::replace(&mut self.shared.lock().fault, fault);
        if ![former, fault].contains(&StoreFault::Silent) {
            self.server.close_connections();
        }
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

    /// Sets how old the copy is that answers watches which allow that.
    pub fn set_copy_age(&self, age: Duration) {
        self.shared.lock().copy_age = age;
    }

    /// Copies the objects, for [`Self::restore`].
    pub fn back_up(&self) {
        self.shared.lock().back_up();
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
        self.shared.lock().write_again();
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
        let write = OwnWrite::Put(kind.to_owned(), name.into(), spec);
        self.shared.lock().write_own(write);
        self.shared.changed.notify_all();
    }

    fn remove(&self, kind: &str, name: &str) {
        let write = OwnWrite::Remove(kind.to_owned(), name.into());
        self.shared.lock().write_own(write);
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
            StoreFault::Floods => return endless_body(&Response::new(200)),
            StoreFault::Hangs | StoreFault::Silent => return Reply::Hang,
            StoreFault::Slow(delay) => thread::sleep(delay),
            StoreFault::None => {}
        }
        let Some(call) = read_store_call(request) else {
            return Reply::Response(Response::new(400));
        };
        if let ReceivedCall::Watch {
            from,
            kind,
            stale_ok,
            wait,
        } = &call
        {
            let age = if *stale_ok {
                self.lock().copy_age
            } else {
                Duration::ZERO
            };
            return self.watch(*from, kind, age, (*wait).into());
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

    /// Waits at most `timeout` for changes of a kind after revision `from` in a copy of the given age,
    /// and responds with them.
    fn watch(&self, from: Rev, kind: &str, age: Duration, timeout: Duration) -> Reply {
        let end = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if from < state.compacted || from > state.rev {
                return Reply::Response(Response::new(410));
            }
            let silent = state.fault == StoreFault::Silent;
            if !silent && state.fault != StoreFault::None {
                return Reply::Close;
            }
            let events = state.events_since(from, kind, age);
            let remaining = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                if silent {
                    return Reply::Hang;
                }
                let rev = if age.is_zero() { state.rev } else { from };
                let newest = events.iter().map(|(object, _)| object.rev).max();
                return Reply::Response(events_response(
                    &events,
                    newest.map_or(rev, |newest| newest.max(rev)),
                ));
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
