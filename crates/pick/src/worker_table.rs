use {
    crate::{AttemptOutcome, Standing, WorkerKey, WorkerRecord},
    limit::FleetPosition,
    site::{Departure, Health, Load, Service, State, Worker},
    unit::{Map, Name, Set, Span, Time, rank},
};

/// The part of a worker's health requests that the daemons of its own data centre may make; the
/// others share the rest.
const NEAR_PART: f64 = 0.6;

/// What a daemon believes of every worker.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    pub(crate) beliefs: Map<WorkerKey, WorkerRecord>,
    /// This daemon's data centre.
    pub(crate) centre: Name,
    /// When this daemon may begin to send to cold workers; `None` while it must not.
    cold_from: Option<Time>,
    evacuated: Set<Name>,
    ids: Map<Name, WorkerKey>,
    /// The registered daemons and their data centres.
    members: Map<Name, Name>,
    /// This daemon's name.
    name: Name,
    next: u32,
    pub(crate) services: Map<Name, Vec<WorkerKey>>,
}

impl WorkerTable {
    /// A table without workers, for the daemon `name` in `centre`.
    pub fn new(name: Name, centre: Name) -> Self {
        Self {
            beliefs: Map::default(),
            members: [(name.clone(), centre.clone())].into_iter().collect(),
            centre,
            cold_from: None,
            evacuated: Set::default(),
            ids: Map::default(),
            name,
            next: 0,
            services: Map::default(),
        }
    }

    /// Takes in a worker's entry. A new life of a known worker is a new worker.
    pub fn upsert(&mut self, worker: Worker, now: Time) -> WorkerKey {
        if let Some(key) = self.ids.get(&worker.id).copied() {
            let same = self.beliefs.get(&key).is_some_and(|belief| {
                belief.worker.born == worker.born
                    && belief.worker.service == worker.service
                    && belief.worker.address == worker.address
            });
            if same {
                if let Some(belief) = self.beliefs.get_mut(&key) {
                    belief.update(worker, now);
                }
                return key;
            }
            self.remove(key);
        }
        let key = WorkerKey(self.next);
        self.next += 1;
        self.ids.insert(worker.id.clone(), key);
        let keys = self.services.entry(worker.service.clone()).or_default();
        keys.push(key);
        let draining = worker.state == State::Draining;
        let mut belief = WorkerRecord::new(worker, now);
        // When it began to drain isn't known.
        belief.leaves = draining.then_some(now);
        self.beliefs.insert(key, belief);
        key
    }

    /// Takes in that a worker's entry is gone; workers that leave may get work for the span `drain`.
    pub fn mark_removed(&mut self, id: &str, departure: Departure, drain: Span, now: Time) {
        let belief = self.ids.get(id).and_then(|key| self.beliefs.get_mut(key));
        if let Some(belief) = belief {
            let until = now + departure.grace(drain);
            let sooner = belief.leaves.map_or(until, |known| known.min(until));
            belief.leaves = Some(sooner);
            belief.gone = true;
        }
    }

    /// Drops workers whose entries are gone and that get nothing any more. One that drains is kept, as
    /// its entry may change once more.
    pub fn prune(&mut self, now: Time) {
        let over = |belief: &WorkerRecord| belief.leaves.is_some_and(|until| now > until);
        let gone = |belief: &WorkerRecord| belief.gone && belief.inflight == 0 && over(belief);
        let keys: Vec<WorkerKey> = self
            .beliefs
            .iter()
            .filter(|(_, belief)| gone(belief))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.remove(key);
        }
    }

    /// Takes in that a data centre is evacuated or taken back.
    pub fn set_evacuated(&mut self, centre: Name, out: bool) {
        if out {
            self.evacuated.insert(centre);
        } else {
            self.evacuated.remove(&centre);
        }
    }

    /// Takes in which daemons are registered, with their data centres.
    pub fn set_members(&mut self, members: Map<Name, Name>) {
        self.members = members;
        self.members.insert(self.name.clone(), self.centre.clone());
    }

    /// How many daemons are registered.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// What is believed of a worker.
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerRecord> {
        self.beliefs.get(&key)
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerRecord)> {
        self.beliefs.iter().map(|(key, belief)| (*key, belief))
    }

    /// How a worker stands.
    pub fn standing(&self, key: WorkerKey, now: Time) -> Standing {
        self.beliefs.get(&key).map_or(Standing::Barred, |belief| {
            belief.standing(now, self.evacuated.contains(&belief.worker.centre))
        })
    }

    /// Takes a permit for a health request to a worker, at most `bound` a second for the fleet.
    pub fn take_probe_permit(&mut self, key: WorkerKey, now: Time, bound: f64) -> bool {
        let Some(belief) = self.beliefs.get_mut(&key) else {
            return false;
        };
        let home = &belief.worker.centre;
        let near = self
            .members
            .values()
            .filter(|centre| *centre == home)
            .count();
        let (part, sharers) = if *home == self.centre {
            (NEAR_PART, near)
        } else {
            (1.0 - NEAR_PART, self.members.len() - near)
        };
        let rate = bound * part / sharers.max(1) as f64;
        belief.probe_share.take_permit(now, rate)
    }

    /// Lets this daemon send to cold workers from a moment on, or not at all: all others must count
    /// it among those that share what cold workers bear.
    pub fn allow_cold_from(&mut self, at: Option<Time>) {
        self.cold_from = at;
    }

    /// Takes leave to send a request to a worker that was warm within the last `span`, for at most
    /// `most` requests until it is asked again.
    pub fn take_unprobed_permit(
        &mut self,
        key: WorkerKey,
        now: Time,
        span: Span,
        most: u32,
    ) -> bool {
        self.beliefs
            .get_mut(&key)
            .is_some_and(|belief| belief.take_unasked(now, span, most))
    }

    /// Gives back a permit for a cold worker that was taken at a moment and not used.
    pub fn return_cold_permit(&mut self, key: WorkerKey, taken: Time) {
        if let Some(belief) = self.beliefs.get_mut(&key) {
            belief.cold_share.remove(taken);
        }
    }

    /// Takes a permit for one request to a worker that is cold or may be, at most `bound` a second
    /// for the fleet.
    pub fn take_cold_permit(&mut self, key: WorkerKey, now: Time, bound: f64) -> bool {
        if self.cold_from.is_none_or(|at| now < at) {
            return false;
        }
        let Some(belief) = self.beliefs.get(&key) else {
            return false;
        };
        let peers = self.peers(&belief.worker.id);
        let Some(belief) = self.beliefs.get_mut(&key) else {
            return false;
        };
        let granted = belief.cold_share.admits(now, bound, peers);
        if granted {
            belief.cold_share.record(now);
        }
        granted
    }

    /// Takes in an answer of a worker's health endpoint.
    pub fn record_health(&mut self, key: WorkerKey, now: Time, health: &Health) {
        if let Some(belief) = self.beliefs.get_mut(&key) {
            belief.healthy(now, health);
        }
    }

    /// Takes in the load that an answer bore.
    pub fn record_load(&mut self, key: WorkerKey, now: Time, load: Load) {
        if let Some(belief) = self.beliefs.get_mut(&key) {
            belief.load = Some((load, now));
        }
    }

    /// Takes in that a worker could not be reached or did not answer its health endpoint.
    pub fn record_unreachable(&mut self, key: WorkerKey, now: Time) {
        if let Some(belief) = self.beliefs.get_mut(&key) {
            belief.strike(now);
        }
    }

    /// Takes in that another worker answers at a worker's address.
    pub fn record_misdirected(&mut self, key: WorkerKey, now: Time) {
        if let Some(belief) = self.beliefs.get_mut(&key) {
            for _ in 0..4 {
                belief.strike(now);
            }
        }
    }

    /// Counts a request sent to a worker; `permit` tells that it had a permit for a cold one, which
    /// was counted when it was taken.
    pub fn record_sent(&mut self, key: WorkerKey, now: Time, permit: bool) {
        if let Some(belief) = self.beliefs.get_mut(&key) {
            belief.inflight += 1;
            belief.used = true;
            if !permit {
                belief.cold_share.record(now);
            }
            if let Some((load, _)) = &mut belief.load {
                load.running += 1;
            }
        }
    }

    /// Takes in how a request to a worker ended, where `expected` was expected of it.
    pub fn record_outcome(
        &mut self,
        key: WorkerKey,
        now: Time,
        outcome: AttemptOutcome,
        expected: Span,
    ) {
        let Some(belief) = self.beliefs.get_mut(&key) else {
            return;
        };
        belief.inflight = belief.inflight.saturating_sub(1);
        if let Some((load, _)) = &mut belief.load {
            load.running = load.running.saturating_sub(1);
        }
        match outcome {
            AttemptOutcome::Failed => belief.failed(now),
            AttemptOutcome::Served(took) => {
                let expected = expected.max(Span::millis(1));
                let factor = took.as_secs() / expected.as_secs() * belief.slowness(now).max(1.0);
                belief.took(now, factor);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotRun => {}
        }
    }

    /// What a cold worker of a service may get from the fleet in a second.
    pub fn cold_rate_limit(service: &Service, factor: f64, slack: f64) -> f64 {
        service.cold.rate * factor + slack
    }

    /// This daemon's place among the registered ones, in an order of the worker's own.
    fn peers(&self, worker: &str) -> FleetPosition {
        let own = (rank(worker, &self.name), &self.name);
        let before = |name: &&Name| (rank(worker, name), *name) < own;
        FleetPosition {
            count: self.members.len(),
            rank: self.members.keys().filter(before).count(),
        }
    }

    fn remove(&mut self, key: WorkerKey) {
        let Some(belief) = self.beliefs.remove(&key) else {
            return;
        };
        if self.ids.get(&belief.worker.id) == Some(&key) {
            self.ids.remove(&belief.worker.id);
        }
        if let Some(keys) = self.services.get_mut(&belief.worker.service) {
            keys.retain(|other| *other != key);
        }
    }
}
