//! The content of the stand-in store, its changes and its copy.

use {
    super::{PAGE_SIZE, StoreFault},
    platform::standin::{ReceivedCall, StoredObject, object_response, page_response},
    serde_json::Value,
    site::Rev,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    unit::Name,
    wire::Response,
};

/// A change to an object, as watches report it.
pub(super) struct ObjectEvent {
    pub(super) at: Instant,
    pub(super) deleted: bool,
    pub(super) kind: String,
    pub(super) object: StoredObject,
}

/// A change that was made by the store's own methods, as by an operator or a worker.
#[derive(Clone)]
pub(super) enum OwnWrite {
    Put(String, Name, Value),
    Remove(String, Name),
}

/// A copy of the store's objects, and what its own methods have written since.
#[derive(Default)]
struct Backup {
    pub(super) objects: BTreeMap<(String, Name), StoredObject>,
    pub(super) rev: Rev,
    pub(super) written: Vec<OwnWrite>,
}

/// The content of the store, and how it treats calls.
#[derive(Default)]
pub(super) struct State {
    backup: Backup,
    /// The number of calls so far.
    pub(super) calls: u64,
    /// The newest revision whose history is compacted; watches from before it get status 410.
    pub(super) compacted: Rev,
    /// How often the store came back from a copy.
    pub(super) era: u32,
    /// The changes since the last compaction, in the order of their revisions.
    pub(super) history: Vec<ObjectEvent>,
    /// The number of further writes that are executed without a response.
    pub(super) unanswered: u32,
    /// Whether the store comes back from its copy right after the next write.
    pub(super) loses_next: bool,
    pub(super) fault: StoreFault,
    /// How old the copy is that answers calls which allow that.
    pub(super) copy_age: Duration,
    /// The objects by kind and name.
    pub(super) objects: BTreeMap<(String, Name), StoredObject>,
    /// The revision of the newest change.
    pub(super) rev: Rev,
}

impl State {
    /// Copies the objects, for [`Self::restore`].
    pub(super) fn back_up(&mut self) {
        self.backup = Backup {
            objects: self.objects.clone(),
            rev: self.rev,
            written: Vec::new(),
        };
    }

    /// Writes again what was written with [`Self::write_own`] since the last copy.
    pub(super) fn write_again(&mut self) {
        for write in self.backup.written.clone() {
            self.write(write);
        }
    }

    /// Makes a change and records it for [`Self::write_again`].
    pub(super) fn write_own(&mut self, write: OwnWrite) {
        self.backup.written.push(write.clone());
        self.write(write);
    }

    fn write(&mut self, write: OwnWrite) {
        match write {
            OwnWrite::Put(kind, name, spec) => {
                self.put(&kind, name, spec);
            }
            OwnWrite::Remove(kind, name) => self.remove(&kind, &name),
        }
    }

    /// Goes back to the last copy.
    pub(super) fn restore(&mut self) {
        self.era += 1;
        self.objects = self.backup.objects.clone();
        self.rev = self.backup.rev;
        let rev = self.rev;
        self.history.retain(|event| event.object.rev <= rev);
    }

    /// Executes a call other than a watch.
    pub(super) fn apply(&mut self, call: ReceivedCall) -> Response {
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
            ReceivedCall::ReplaceStatus {
                kind,
                name,
                rev,
                status,
            } => self.conditional(&kind, &name, rev, |state| {
                state.put_status(&kind, &name, status)
            }),
            ReceivedCall::Watch { .. } => Response::new(400),
        }
    }

    /// Applies a write if the object exists and has revision `rev`, or any revision where `rev` is
    /// `None`.
    pub(super) fn conditional(
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
    pub(super) fn list(&self, kind: &str, after: Option<&Name>) -> Response {
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
    pub(super) fn put(&mut self, kind: &str, name: Name, spec: Value) -> StoredObject {
        let key = (kind.to_owned(), name.clone());
        if let Some(unchanged) = self.objects.get(&key).filter(|object| object.spec == spec) {
            return unchanged.clone();
        }
        self.rev.number += 1;
        let known = self.objects.get(&key);
        let object = StoredObject {
            created: known.map_or(self.rev, |known| known.created),
            name,
            rev: self.rev,
            spec,
            status: known.map_or(Value::Null, |known| known.status.clone()),
        };
        self.replace(key, object)
    }

    /// Writes the status of an object that exists under a new revision.
    fn put_status(&mut self, kind: &str, name: &Name, status: Value) -> Response {
        let key = (kind.to_owned(), name.clone());
        let Some(known) = self.objects.get(&key).cloned() else {
            return Response::new(404);
        };
        self.rev.number += 1;
        let object = StoredObject {
            rev: self.rev,
            status,
            ..known
        };
        object_response(200, &self.replace(key, object))
    }

    fn replace(&mut self, key: (String, Name), object: StoredObject) -> StoredObject {
        self.history.push(ObjectEvent {
            at: Instant::now(),
            deleted: false,
            kind: key.0.clone(),
            object: object.clone(),
        });
        self.objects.insert(key, object.clone());
        object
    }

    pub(super) fn remove(&mut self, kind: &str, name: &Name) {
        let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.clone())) else {
            return;
        };
        self.rev.number += 1;
        object.rev = self.rev;
        self.history.push(ObjectEvent {
            at: Instant::now(),
            deleted: true,
            kind: kind.to_owned(),
            object,
        });
    }

    /// Returns the objects of a kind that changed after a revision, each with whether it was
    /// deleted, as a copy of the given age has them.
    pub(super) fn events_since(
        &self,
        from: Rev,
        kind: &str,
        age: Duration,
    ) -> Vec<(StoredObject, bool)> {
        let newer = self.history.iter();
        newer
            .filter(|event| event.kind == kind && event.object.rev > from)
            .filter(|event| event.at.elapsed() >= age)
            .map(|event| (event.object.clone(), event.deleted))
            .collect()
    }
}
