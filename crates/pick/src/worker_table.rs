use {
    crate::{Standing, WorkerKey, WorkerRecord, dropped::DroppedRecords, fleet::Fleet},
    rollout::Lane,
    site::{Departure, Worker, WorkerState},
    std::cell::Cell,
    unit::{Map, Name, Set, Span, Time},
};

/// What a daemon knows of all workers, and its shares of the fleet-wide limits per worker.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    pub(crate) records: Map<WorkerKey, WorkerRecord>,
    /// This daemon's data centre.
    pub(crate) centre: Name,
    /// When this daemon may begin to use its shares of the fleet's limits; `None` while it must not.
    pub(crate) shares_from: Option<Time>,
    /// When this process run began. The runs of this daemon before it used its shares up to then.
    pub(crate) started: Time,
    /// The evacuated data centres.
    evacuated: Set<Name>,
    /// How many workers were looked at to select one.
    examined: Cell<u64>,
    /// Which requests a worker may get before its version was judged.
    first_lane: Lane,
    /// The current key of each worker id.
    ids: Map<Name, WorkerKey>,
    dropped: DroppedRecords,
    /// The registered daemons.
    pub(crate) fleet: Fleet,
    /// The next key to assign.
    next_key: u32,
    /// The workers of each service.
    pub(crate) services: Map<Name, Vec<WorkerKey>>,
}

impl WorkerTable {
    /// A table without workers, for the daemon `name` in `centre` whose process began at `started`.
    pub fn new(name: Name, centre: Name, started: Time) -> Self {
        Self {
            records: Map::default(),
            fleet: Fleet::new(name, centre.clone()),
            centre,
            shares_from: None,
            started,
            evacuated: Set::default(),
            examined: Cell::new(0),
            first_lane: Lane::Open,
            ids: Map::default(),
            dropped: DroppedRecords::default(),
            next_key: 0,
            services: Map::default(),
        }
    }

    /// Adds or updates a worker from its entry. A known id with another start time, service or
    /// address is a new process run: it gets a new key, and inherits from the old record only what
    /// was sent within this daemon's shares of the fleet's limits.
    pub fn upsert(&mut self, worker: Worker, now: Time) -> WorkerKey {
        if let Some(key) = self.ids.get(&worker.id).copied() {
            if let Some(record) = self.records.get_mut(&key)
                && record.is_run_of(&worker)
            {
                record.update(worker, now);
                return key;
            }
            self.remove(key, now);
        }
        let key = WorkerKey(self.next_key);
        self.next_key += 1;
        self.ids.insert(worker.id.clone(), key);
        let keys = self.services.entry(worker.service.clone()).or_default();
        keys.push(key);
        let mut record = self.new_record(worker, now);
        record.lane = self.first_lane;
        // When it started to drain isn't known, so it gets no grace period.
        let draining = record.worker.state == WorkerState::Draining;
        record.leaving_until = (draining || record.said_leaving).then_some(now);
        self.records.insert(key, record);
        self.divide_limit(key);
        key
    }

    /// The record of a worker that has none: the one that was dropped, if its entry comes back.
    fn new_record(&mut self, worker: Worker, now: Time) -> WorkerRecord {
        let latest = self.dropped.latest(&worker.id).cloned();
        let mut record = match self.dropped.take(&worker) {
            Some(mut record) => {
                record.resume(worker, now);
                record
            }
            None => WorkerRecord::new(worker, self.started, now),
        };
        if let Some(latest) = latest {
            record.inherit(&latest);
        }
        record
    }

    /// Records that a worker's entry is gone. The worker may still be used for a part of the drain
    /// time `drain` that depends on `departure`, or until its own drain grace ends if that is
    /// sooner.
    pub fn mark_removed(&mut self, id: &str, departure: Departure, drain: Span, now: Time) {
        let record = self.ids.get(id).and_then(|key| self.records.get_mut(key));
        if let Some(record) = record {
            record.leave_by(now + departure.grace(drain));
            record.removed = true;
        }
    }

    /// Drops workers whose entries are gone, that may not be used any more and have no requests in
    /// flight. A draining worker that still has an entry is kept, as its entry may change once
    /// more.
    pub fn prune(&mut self, now: Time) {
        let expired = |record: &WorkerRecord| record.leaving_until.is_some_and(|until| now > until);
        let droppable =
            |record: &WorkerRecord| record.removed && record.in_flight == 0 && expired(record);
        let keys: Vec<WorkerKey> = self
            .records
            .iter()
            .filter(|(_, record)| droppable(record))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.remove(key, now);
        }
        self.dropped.prune(now);
    }

    /// Marks a data centre as evacuated, or ends its evacuation.
    pub fn set_evacuated(&mut self, centre: Name, evacuated: bool) {
        if evacuated {
            self.evacuated.insert(centre);
        } else {
            self.evacuated.remove(&centre);
        }
    }

    /// Holds new workers back until [`Self::set_lanes`] has judged their versions.
    pub const fn hold_new_workers(&mut self) {
        self.first_lane = Lane::Held;
    }

    /// Sets which requests each worker may get.
    pub fn set_lanes(&mut self, mut lane: impl FnMut(&Worker) -> Lane) {
        for record in self.records.values_mut() {
            record.lane = lane(&record.worker);
        }
    }

    /// This daemon's requests in flight at the workers of a service whose versions are chosen.
    pub fn in_flight(&self, service: &str, mut chosen: impl FnMut(&Name) -> bool) -> u32 {
        let records = self.records.values();
        let chosen = records
            .filter(|record| &*record.worker.service == service && chosen(&record.worker.version));
        chosen.map(|record| record.in_flight).sum()
    }

    /// How many workers were looked at so far to select one: the measure of what selection costs.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Counts workers that were looked at.
    pub(crate) fn count_examined(&self, workers: usize) {
        self.examined.set(self.examined.get() + workers as u64);
    }

    /// The record of a worker.
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerRecord> {
        self.records.get(&key)
    }

    /// All workers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerRecord)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    /// The workers of a service that may be sent requests, as far as their standing goes.
    pub fn sendable(&self, service: &str, now: Time) -> Vec<WorkerKey> {
        let keys = self.services.get(service).map(Vec::as_slice);
        let keys = keys.unwrap_or_default().iter().copied();
        keys.filter(|key| self.standing(*key, now) != Standing::Barred)
            .collect()
    }

    /// Whether a worker is in this daemon's own data centre; an unknown one isn't.
    pub fn is_local(&self, key: WorkerKey) -> bool {
        let record = self.records.get(&key);
        record.is_some_and(|record| record.worker.centre == self.centre)
    }

    /// Whether a service has a worker in this daemon's own data centre that is usable.
    pub fn has_local(&self, service: &str, now: Time) -> bool {
        let keys = self.services.get(service).map(Vec::as_slice);
        let mut keys = keys.unwrap_or_default().iter();
        keys.any(|key| self.is_local(*key) && self.standing(*key, now) == Standing::Usable)
    }

    /// The standing of a worker; unknown workers are barred.
    pub fn standing(&self, key: WorkerKey, now: Time) -> Standing {
        self.records.get(&key).map_or(Standing::Barred, |record| {
            record.standing(now, self.evacuated.contains(&record.worker.centre))
        })
    }

    /// Whether a request may be sent to a worker now: it isn't barred, it wants requests from this
    /// daemon, this daemon's share of the limit that it names isn't used up, and it isn't left out
    /// for its rejections.
    pub fn may_send(&self, key: WorkerKey, now: Time) -> bool {
        let record = self.records.get(&key);
        let open = record.is_some_and(|record| self.is_open(record, now));
        open && self.standing(key, now) != Standing::Barred && !self.is_left_out(key, now)
    }

    /// When the first of a service's workers may likely get a request again from some daemon.
    /// `None` if one may get it now, or if no worker will.
    pub fn next_opening(&self, service: &str, now: Time) -> Option<Time> {
        let keys = self.services.get(service)?;
        let mut next: Option<Time> = None;
        for key in keys {
            if self.may_send(*key, now) {
                return None;
            }
            let record = self.records.get(key)?;
            if self.standing(*key, now) != Standing::Barred {
                let opening = record.fleet_opening(now);
                next = Some(next.map_or(opening, |next| next.min(opening)));
            }
        }
        next
    }

    /// Drops a worker's record, and its key from the indexes by id and by service.
    fn remove(&mut self, key: WorkerKey, now: Time) {
        let Some(record) = self.records.remove(&key) else {
            return;
        };
        if self.ids.get(&record.worker.id) == Some(&key) {
            self.ids.remove(&record.worker.id);
        }
        if let Some(keys) = self.services.get_mut(&record.worker.service) {
            keys.retain(|other| *other != key);
        }
        self.dropped.keep(record, now);
    }
}
