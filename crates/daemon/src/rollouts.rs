//! Rollouts of services' versions: which workers may get requests by their versions, and the writing
//! of their states.

use {
    crate::{daemon::Daemon, log_event},
    call::Decision,
    conf::RolloutBounds,
    peer::Stage,
    pick::WorkerTable,
    rollout::{Conditions, Finding, Order, Params, Phase, Rollout, Side, Versions, hash},
    serde_json::{Value, json},
    site::{Rev, RolloutState, Topic, Versioned, Worker},
    std::sync::Arc,
    store::Role,
    unit::{Map, Name, Set, Time, rendezvous_weight},
};

/// The key under which the ids of a service's workers are ranked to choose the canaries.
const CANARY_KEY: &str = "canary";

/// What this daemon knows of versions, where rollouts are enabled.
#[derive(Debug)]
pub(crate) struct RolloutBook {
    /// The revision up to which all changes of rollouts are known.
    pub(crate) known: Rev,
    /// When the rollouts last changed here, or first became known.
    pub(crate) changed: Option<Time>,
    /// Whether this daemon was halted at the last tick, by the service of the rollout.
    halted: Set<Name>,
    params: Params,
    pub(crate) versions: Versions,
}

impl RolloutBook {
    pub(crate) fn new(bounds: RolloutBounds) -> Self {
        Self {
            known: Rev::default(),
            changed: None,
            halted: Set::default(),
            params: Params {
                share: bounds.share,
                slack: bounds.slack,
                rollback: bounds.rollback,
            },
            versions: Versions::default(),
        }
    }
}

impl Daemon {
    /// Whether workers can be told apart by their versions: always true where no version is rolled
    /// out.
    pub(crate) fn knows_versions(&self) -> bool {
        let Some(book) = &self.rollouts else {
            return true;
        };
        let mut workers = self.view.workers();
        book.known > Rev::default()
            && (self.view.workers().next().is_none()
                || workers.any(|worker| {
                    book.versions
                        .is_established(&worker.service, &worker.version)
                }))
    }

    /// Counts up what is known of rollouts, decides on them where this daemon watches the store, and
    /// sets which workers may get requests.
    pub(crate) fn rollouts_tick(&mut self, now: Time) {
        if self.rollouts.is_none() {
            return;
        }
        self.raise_known(now, self.store.watched_rev(Topic::Rollouts));
        self.update_lanes(now);
        let own = self.own_state();
        let conditions = Conditions {
            alive: self.roster.count_alive(now) + 1,
            registered: self.roster.members().len() + 1,
            staleness: self.roster.staleness(now, &own),
        };
        let (daemon, incarnation) = (hash(&self.settings.name), self.roster.incarnation());
        let table = &self.dispatcher.table;
        for (service, rollout) in &mut self.dispatcher.rollouts {
            let target = rollout.object().target.clone();
            let old = table.in_flight(service, |version| *version != target);
            rollout.tick(now, conditions, old);
            rollout.report(now, daemon, incarnation);
        }
        self.log_halts(now);
        self.decide_rollouts(now);
        self.update_lanes(now);
        self.refresh_rollouts(now);
    }

    /// Follows a change of the rollouts' objects.
    pub(crate) fn sync_rollouts(&mut self, now: Time) {
        let Some(book) = &mut self.rollouts else {
            return;
        };
        book.changed = Some(now);
        let params = book.params;
        // Of several objects about one service the one that was created last counts.
        let mut objects: Map<Name, site::Rollout> = Map::default();
        for versioned in self.view.rollouts() {
            let object = &versioned.value;
            let known = objects.get(&object.service);
            if known.is_none_or(|known| known.created < object.created) {
                objects.insert(object.service.clone(), object.clone());
            }
        }
        let gone: Vec<Name> = self
            .dispatcher
            .rollouts
            .iter()
            .filter(|(service, rollout)| {
                let object = objects.get(*service);
                !object.is_some_and(|object| object.is_same(rollout.object()))
            })
            .map(|(service, _)| service.clone())
            .collect();
        for service in gone {
            self.remove_rollout(now, &service);
        }
        for (service, object) in objects {
            self.update_rollout(now, service, object, params);
        }
        self.update_lanes(now);
    }

    /// Counts a send by the version of its worker, if its service has a rollout.
    pub(crate) fn count_version(&self, decision: &Decision) {
        let Decision::Sent { worker, .. } = decision else {
            return;
        };
        let Some(record) = self.dispatcher.table.get(*worker) else {
            return;
        };
        if let Some(rollout) = self.dispatcher.rollouts.get(&record.worker.service) {
            let is_target = record.worker.version == rollout.object().target;
            self.metrics.count_rollout_send(is_target);
        }
    }

    /// The rollouts, for operators.
    pub(crate) fn rollouts_json(&self, now: Time) -> Vec<Value> {
        let rollouts = self.dispatcher.rollouts.values();
        rollouts.map(|rollout| rollout_json(rollout, now)).collect()
    }

    fn update_rollout(&mut self, now: Time, service: Name, object: site::Rollout, params: Params) {
        let known = self.dispatcher.rollouts.get_mut(&service);
        let was_decided = known
            .as_ref()
            .is_some_and(|rollout| rollout.object().is_decided());
        if let Some(known) = known {
            known.update(object);
        } else {
            let mut rng = fastrand::Rng::new();
            let rollout = Rollout::new(object, params, now, &mut rng);
            let fields = rollout_json(&rollout, now);
            self.dispatcher.rollouts.insert(service.clone(), rollout);
            self.log_event(now, log_event::ROLLOUT_BEGUN, fields);
            let known = self.config.as_ref();
            if known.is_some_and(|config| !config.services.contains_key(&service)) {
                let fields = json!({"service": service, "reason": "unknown service"});
                self.log_event(now, log_event::ROLLOUT_PROBLEM, fields);
            }
        }
        let Some(rollout) = self.dispatcher.rollouts.get(&service) else {
            return;
        };
        if was_decided || !rollout.object().is_decided() {
            return;
        }
        let fields = rollout_json(rollout, now);
        if rollout.phase() == Phase::Completed {
            let started = self.stage != Stage::Starting;
            let present = started.then(|| present_versions(&self.dispatcher.table, &service));
            if let Some(book) = &mut self.rollouts {
                book.versions.complete(now, rollout, present);
            }
        }
        self.log_event(now, log_event::ROLLOUT_DECIDED, fields);
    }

    fn remove_rollout(&mut self, now: Time, service: &Name) {
        let Some(rollout) = self.dispatcher.rollouts.remove(service) else {
            return;
        };
        if let Some(book) = &mut self.rollouts {
            book.versions.remove(&rollout);
        }
        let fields = rollout_json(&rollout, now);
        self.log_event(now, log_event::ROLLOUT_REMOVED, fields);
    }

    /// Judges all workers by their versions.
    pub(crate) fn update_lanes(&mut self, now: Time) {
        let Some(book) = &mut self.rollouts else {
            return;
        };
        let unreadable: Set<Name> = self.view.unreadable_rollouts().cloned().collect();
        let mut entries: Vec<&Versioned<Worker>> = self.view.worker_entries().collect();
        if !unreadable.is_empty() {
            // The workers that have run longest show what was in use before.
            entries.sort_by_key(|entry| entry.value.started_ms);
        }
        for entry in entries {
            let worker = &entry.value;
            // Which version an object is about that can't be read isn't known, so new ones wait.
            let unclear = unreadable.contains(&worker.service);
            if unclear && !book.versions.is_empty(&worker.service) {
                continue;
            }
            book.versions
                .record_entry(&worker.service, &worker.version, entry.rev, book.known);
        }
        let services: Set<Name> = self
            .dispatcher
            .table
            .iter()
            .map(|(_, record)| record.worker.service.clone())
            .collect();
        for service in &services {
            let present = present_versions(&self.dispatcher.table, service);
            book.versions.retain(now, service, &present);
        }
        let rollouts = &self.dispatcher.rollouts;
        let mut canaries: Set<Name> = Set::default();
        for rollout in rollouts.values() {
            canaries.extend(choose_canaries(
                &self.dispatcher.table,
                rollout,
                book.params,
            ));
        }
        let versions = &book.versions;
        self.dispatcher.table.set_lanes(|worker: &Worker| {
            let rollout = rollouts.get(&worker.service);
            let canary = canaries.contains(&worker.id);
            versions.lane(now, &worker.service, &worker.version, rollout, canary)
        });
    }

    /// Writes states and begins shifts where this daemon watches the store.
    fn decide_rollouts(&mut self, now: Time) {
        if self.store.role() != Role::Watcher {
            return;
        }
        let members = self.roster.members().iter();
        let alive = members.filter(|(_, member)| self.roster.is_alive(member, now));
        let mut alive: Vec<u32> = alive.map(|(name, _)| hash(name)).collect();
        alive.push(hash(&self.settings.name));
        let mut orders = Vec::new();
        for (service, rollout) in &mut self.dispatcher.rollouts {
            let target = &rollout.object().target;
            let present = self
                .view
                .workers()
                .any(|worker| worker.service == *service && worker.version == *target);
            if let Some(order) = rollout.decide(now, &alive, present) {
                orders.push((service.clone(), order));
            }
        }
        for (service, order) in orders {
            match order {
                Order::Shift => {
                    if let Some(rollout) = self.dispatcher.rollouts.get(&service) {
                        let fields = rollout_json(rollout, now);
                        self.log_event(now, log_event::ROLLOUT_SHIFTING, fields);
                    }
                }
                Order::Write(state, finding) => self.write_rollout(now, &service, state, finding),
            }
        }
    }

    fn write_rollout(
        &mut self,
        now: Time,
        service: &Name,
        state: RolloutState,
        finding: Option<Finding>,
    ) {
        let Some(rollout) = self.dispatcher.rollouts.get(service) else {
            return;
        };
        let mut fields = rollout_json(rollout, now);
        fields["write"] = json!(format!("{state:?}"));
        fields["finding"] = json!(finding.map(|finding| format!("{finding:?}")));
        let object = rollout.object().clone();
        let is_same = |versioned: &&Versioned<site::Rollout>| versioned.value.is_same(&object);
        let Some(stored) = self.view.rollouts().find(is_same).cloned() else {
            return;
        };
        self.log_event(now, log_event::ROLLOUT_WRITING, fields);
        let actions = self.store.write_rollout(&stored, state);
        self.run_store_actions(now, actions);
    }

    /// Has the store say at once up to which revision rollouts are known, while a worker waits for
    /// that.
    fn refresh_rollouts(&mut self, now: Time) {
        let Some(book) = &self.rollouts else {
            return;
        };
        let waits = |entry: &Versioned<Worker>| {
            let worker = &entry.value;
            entry.rev > book.known
                && !book
                    .versions
                    .is_established(&worker.service, &worker.version)
        };
        if self.store.role() == Role::Watcher && self.view.worker_entries().any(waits) {
            let actions = self.store.refresh(Topic::Rollouts, now);
            self.run_store_actions(now, actions);
        }
    }

    /// Logs where this daemon has stopped sending to a target version by itself, or goes on.
    fn log_halts(&mut self, now: Time) {
        let Some(book) = &mut self.rollouts else {
            return;
        };
        let mut changes = Vec::new();
        for (service, rollout) in &self.dispatcher.rollouts {
            let halted = rollout.is_halted(now) && !rollout.object().is_decided();
            if halted != book.halted.contains(service) {
                if halted {
                    book.halted.insert(service.clone());
                } else {
                    book.halted.remove(service);
                }
                changes.push((halted, rollout_json(rollout, now)));
            }
        }
        for (halted, mut fields) in changes {
            fields["halted"] = json!(halted);
            self.log_event(now, log_event::ROLLOUT_HALTED, fields);
        }
    }
}

/// The versions of a service's workers.
fn present_versions(table: &WorkerTable, service: &Name) -> Set<Name> {
    let workers = table.iter().map(|(_, record)| &record.worker);
    let own = workers.filter(|worker| worker.service == *service);
    own.map(|worker| Arc::clone(&worker.version)).collect()
}

/// The workers of a target version that get its share: so few that each is as loaded as an old one.
/// All daemons choose the same.
fn choose_canaries(table: &WorkerTable, rollout: &Rollout, params: Params) -> Vec<Name> {
    let target = &rollout.object().target;
    let workers = table.iter().map(|(_, record)| &record.worker);
    let workers = workers.filter(|worker| worker.service == *rollout.service());
    let (new, old): (Vec<&Worker>, Vec<&Worker>) =
        workers.partition(|worker| worker.version == *target);
    if rollout.phase() != Phase::Exposing {
        return new.iter().map(|worker| worker.id.clone()).collect();
    }
    let count = (old.len() as f64 * params.share).ceil().max(1.0) as usize;
    let mut new: Vec<(u64, &Name)> = new
        .iter()
        .map(|worker| (rendezvous_weight(CANARY_KEY, &worker.id), &worker.id))
        .collect();
    new.sort_unstable();
    new.truncate(count);
    new.into_iter().map(|(_, id)| id.clone()).collect()
}

/// A rollout and the inputs of its verdict, for the log and for operators.
pub(crate) fn rollout_json(rollout: &Rollout, now: Time) -> Value {
    let object = rollout.object();
    let total = rollout.evidence().total();
    let side = |side: Side| {
        let counts = match side {
            Side::Old => total.old,
            Side::Target => total.target,
        };
        json!({"requests": counts.requests, "failed": counts.failed, "slow": counts.slow})
    };
    let (requests, exposed) = rollout.exposure();
    json!({
        "service": object.service,
        "target": object.target,
        "phase": format!("{:?}", rollout.phase()).to_lowercase(),
        "elapsed_ms": rollout.elapsed(now).as_millis(),
        "own_requests": requests,
        "own_exposed": exposed,
        "halted": rollout.is_halted(now),
        "old": side(Side::Old),
        "new": side(Side::Target),
    })
}
