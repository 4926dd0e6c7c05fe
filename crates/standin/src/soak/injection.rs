//! The injection of faults, and their end.

use {
    crate::{
        config::config,
        error::StandinError,
        proxy::ProxyFault,
        soak::{
            fault::Fault,
            report::Interval,
            runner::{ActiveFault, CENTRES, Runner, WORK_TIME},
        },
        store::StoreFault,
        upstream::Upstream,
        worker_fault::WorkerFault,
    },
    nix::sys::signal::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
    unit::{Name, Rate},
};

/// Timeout for a daemon to exit after SIGTERM, counted from the end of the fault.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// The size of a response that is passed on while it arrives, in bytes.
const DOWNLOAD_BYTES: usize = 2 << 20;
/// How long the store is away before it comes back from a copy.
const STORE_AWAY: Duration = Duration::from_millis(200);
/// How soon operators and workers write again what the store has lost.
const WRITING_DELAY: Duration = Duration::from_millis(1_500);

/// How a worker ends.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Dies,
    Drains,
    /// It says so in its responses only.
    SaysLeaving,
}

impl Runner {
    /// Injects a fault that lasts for `length`. Does nothing if the fault needs a running daemon
    /// and another fault disturbs that daemon's process.
    pub(crate) fn begin(&mut self, fault: Fault, length: Duration) -> Result<(), StandinError> {
        let began = Instant::now();
        let size = self.fleet.size();
        let worker = self.affected_worker(fault);
        match fault {
            Fault::Compact => self.fleet.store.compact(),
            Fault::Config => {
                self.version += 1;
                self.publish();
            }
            Fault::CutOff(index, cut) => self.fleet.cut_from_workers(index % size, Some(cut)),
            Fault::Evacuate(index) => self.fleet.store.evacuate(CENTRES[index % CENTRES.len()]),
            Fault::Kill(index) if self.is_undisturbed(index % size) => {
                self.fleet.kill(index % size)
            }
            Fault::DropResponses => self.fleet.store.drop_responses(2),
            Fault::Pause(index) if self.is_undisturbed(index % size) => {
                self.fleet.signal(index % size, Signal::SIGSTOP)?;
            }
            Fault::OddEntries(odd) => self.fleet.store.put_odd_entries(odd),
            Fault::Reload(index) if self.is_undisturbed(index % size) => {
                self.fleet.signal(index % size, Signal::SIGHUP)?;
            }
            Fault::Replace(index, _) => self.fleet.signal(index, Signal::SIGTERM)?,
            Fault::Restore if self.is_restoring() => return Ok(()),
            Fault::Restore => self.fleet.store.back_up(),
            Fault::SilenceWaiting => {
                for proxy in &self.fleet.store_proxies {
                    proxy.silence_waiting();
                }
            }
            Fault::Store(fault) => self.fleet.store.set_fault(fault),
            Fault::StoreProxy(index, fault) => {
                self.fleet.store_proxies[index % size].set_fault(fault)
            }
            Fault::Term(index) if self.is_undisturbed(index % size) => {
                self.fleet.signal(index % size, Signal::SIGTERM)?;
            }
            Fault::Kill(_) | Fault::Pause(_) | Fault::Reload(_) | Fault::Term(_) => return Ok(()),
            Fault::Worker(index, fault) => self.worker(index).set_fault(fault),
            Fault::WriteAgain => {}
            Fault::WorkerCold(index) => self.worker(index).set_cold(length),
            Fault::WorkerCutsDownloads(index) => {
                self.worker(index).set_body_bytes(DOWNLOAD_BYTES);
                self.worker(index).set_fault(WorkerFault::Truncates);
            }
            Fault::WorkerDies(index) => self.replace_worker(index, Ending::Dies)?,
            Fault::WorkerDrains(index) => self.replace_worker(index, Ending::Drains)?,
            Fault::WorkerLimits(..) if self.names_limit(worker.as_ref()) => return Ok(()),
            Fault::WorkerLimits(index, limit) => {
                let rate = Rate::per_second(f64::from(limit));
                self.worker(index).set_rate_limit(rate);
            }
            Fault::WorkerSaysLeaving(index) => self.replace_worker(index, Ending::SaysLeaving)?,
            Fault::WorkerTurnsAway(index) => self.worker(index).turn_away(Some(length.into())),
            Fault::WorkerProxy(index, fault) => {
                if let Some(proxy) = self.fleet.worker_proxies.get(&self.worker(index).entry.id) {
                    proxy.set_fault(fault);
                }
            }
            Fault::WorkerSlow(index) => self.worker(index).set_latency_percent(500),
        }
        self.active.push(ActiveFault {
            began,
            ends: began + length,
            fault,
            worker,
        });
        Ok(())
    }

    /// Ends a fault and records its interval, where checks depend on it.
    pub(crate) fn end(&mut self, active: &ActiveFault) -> Result<(), StandinError> {
        let size = self.fleet.size();
        match active.fault {
            Fault::CutOff(index, _) => self.fleet.cut_from_workers(index % size, None),
            Fault::Evacuate(index) => {
                let centre = CENTRES[index % CENTRES.len()];
                self.fleet.store.end_evacuation(centre);
                self.history.evacuated.push(interval(active, centre));
            }
            Fault::Kill(index) => {
                self.fleet.launch(index % size)?;
                self.history.disrupted.push(interval(active, index % size));
            }
            Fault::Pause(index) => {
                self.fleet.signal(index % size, Signal::SIGCONT)?;
                self.history.disrupted.push(interval(active, index % size));
            }
            Fault::Replace(index, build) => {
                self.fleet.wait_stopped(index, STOP_TIMEOUT)?;
                if let Some(replacements) = &mut self.replacements {
                    replacements.launch(&mut self.fleet, index, build)?;
                }
                self.history.stopped.push(interval(active, index));
            }
            Fault::Restore => self.restore()?,
            Fault::Store(_) => self.fleet.store.set_fault(StoreFault::None),
            Fault::StoreProxy(index, _) => {
                self.fleet.store_proxies[index % size].set_fault(ProxyFault::None)
            }
            Fault::Term(index) => {
                self.fleet.wait_stopped(index % size, STOP_TIMEOUT)?;
                self.fleet.launch(index % size)?;
                self.history.stopped.push(interval(active, index % size));
            }
            Fault::Worker(..) | Fault::WorkerSlow(_) | Fault::WorkerTurnsAway(_) => {
                self.clear_worker_faults(active.worker.as_ref());
            }
            Fault::WorkerLimits(_, limit) => self.end_limit(active, limit),
            Fault::WorkerProxy(..) => {
                self.clear_worker_faults(active.worker.as_ref());
                if let Some(worker) = &active.worker {
                    self.history.cut.push(interval(active, worker.clone()));
                }
            }
            Fault::WorkerCutsDownloads(_) => {
                self.clear_worker_faults(active.worker.as_ref());
                if let Some(worker) = &active.worker {
                    self.history.cutting.push(interval(active, worker.clone()));
                }
            }
            Fault::OddEntries(odd) => self.fleet.store.remove_odd_entries(odd),
            Fault::WriteAgain => self.fleet.store.write_again(),
            Fault::WorkerDrains(_) => self.update_draining_entry(active.worker.as_ref()),
            Fault::Compact
            | Fault::Config
            | Fault::DropResponses
            | Fault::Reload(_)
            | Fault::SilenceWaiting
            | Fault::WorkerCold(_)
            | Fault::WorkerDies(_)
            | Fault::WorkerSaysLeaving(_) => {}
        }
        if active.fault.delays_propagation() {
            let mut suspension = interval(active, ());
            if active.fault == Fault::SilenceWaiting {
                // New connections work from the first moment on.
                suspension.to = suspension.from;
            }
            self.history.suspensions.push(suspension);
        }
        Ok(())
    }

    /// Publishes the next version of the configuration, in which an account has another key if there
    /// are accounts.
    fn publish(&mut self) {
        let version = self.version;
        let store = &self.fleet.store;
        if self.keys.terms().is_empty() {
            store.put_config(&config(version));
            return;
        }
        self.keys.change(&mut self.key_rng, |keys| {
            let (config, texts) = keys.config(version);
            store.put_config_with(&config, &texts);
        });
    }

    /// Whether a worker names a limit; it names one at a time, so that the limit to check is known.
    fn names_limit(&self, id: Option<&Name>) -> bool {
        let limits = |active: &ActiveFault| matches!(active.fault, Fault::WorkerLimits(..));
        let mut active = self.active.iter();
        active.any(|active| limits(active) && active.worker.as_ref() == id)
    }

    /// Whether the store's copy is still needed.
    fn is_restoring(&self) -> bool {
        let restoring = |fault| matches!(fault, Fault::Restore | Fault::WriteAgain);
        self.active.iter().any(|active| restoring(active.fault))
    }

    /// Has the store come back from its copy; what it lost is written again a little later.
    fn restore(&mut self) -> Result<(), StandinError> {
        self.fleet.store.set_fault(StoreFault::Closes);
        thread::sleep(STORE_AWAY);
        self.fleet.store.restore();
        self.fleet.store.set_fault(StoreFault::None);
        self.begin(Fault::WriteAgain, WRITING_DELAY)
    }

    fn worker(&self, index: usize) -> &Upstream {
        &self.fleet.workers[index % self.fleet.workers.len()]
    }

    /// Returns the worker whose state is restored when the fault ends. It is an id because workers
    /// that are replaced meanwhile change the indices of others.
    fn affected_worker(&self, fault: Fault) -> Option<Name> {
        match fault {
            Fault::Worker(index, _)
            | Fault::WorkerCutsDownloads(index)
            | Fault::WorkerDrains(index)
            | Fault::WorkerLimits(index, _)
            | Fault::WorkerProxy(index, _)
            | Fault::WorkerSlow(index)
            | Fault::WorkerTurnsAway(index) => Some(self.worker(index).entry.id.clone()),
            _ => None,
        }
    }

    /// Writes the entry of a draining worker once more, with another heartbeat.
    fn update_draining_entry(&self, id: Option<&Name>) {
        let matches_id = |worker: &&Upstream| Some(&worker.entry.id) == id;
        if let Some(worker) = self.fleet.workers.iter().find(matches_id) {
            let mut entry = worker.draining_entry();
            entry.heartbeats += 1;
            self.fleet.store.put_worker(&entry);
        }
    }

    /// Ends the faults of a worker and of its proxy, if it still exists.
    fn clear_worker_faults(&self, id: Option<&Name>) {
        let matches_id = |worker: &&Upstream| Some(&worker.entry.id) == id;
        if let Some(worker) = self.fleet.workers.iter().find(matches_id) {
            worker.set_fault(WorkerFault::None);
            worker.set_body_bytes(0);
            worker.set_latency_percent(100);
            worker.turn_away(None);
        }
        if let Some(proxy) = id.and_then(|id| self.fleet.worker_proxies.get(id)) {
            proxy.set_fault(ProxyFault::None);
        }
    }

    /// Ends the limit that a worker names, if it still exists.
    fn end_limit(&mut self, active: &ActiveFault, limit: u32) {
        let matches_id = |worker: &&Upstream| Some(&worker.entry.id) == active.worker.as_ref();
        let Some(worker) = self.fleet.workers.iter().find(matches_id) else {
            return;
        };
        worker.set_rate_limit(None);
        if let Some(rate) = Rate::per_second(f64::from(limit)) {
            let subject = (worker.entry.id.clone(), rate);
            self.history.limits.push(interval(active, subject));
        }
    }

    /// Starts a new worker in place of one that ends. One that leaves runs on until the end of the
    /// soak, so that requests sent to it too late are recorded.
    fn replace_worker(&mut self, index: usize, ending: Ending) -> Result<(), StandinError> {
        let index = index % self.fleet.workers.len();
        let id = format!("w-{}", self.next_worker);
        self.next_worker += 1;
        let centre = self.centres[&self.fleet.workers[index].entry.id];
        self.fleet.add_worker(&id, centre, WORK_TIME, true)?;
        self.centres.insert(id.as_str().into(), centre);
        let old = &self.fleet.workers[index];
        let old_id = old.entry.id.clone();
        // A worker that leaves stays in the list, where further faults may affect it.
        match ending {
            Ending::Drains => {
                self.fleet.store.put_worker(&old.draining_entry());
                self.history.draining.push((old_id, Instant::now()));
            }
            Ending::SaysLeaving => old.set_leaving(true),
            Ending::Dies => {
                self.fleet.store.remove_worker(&old_id);
                self.fleet.worker_proxies.remove(&old_id);
                self.fleet.workers.remove(index);
            }
        }
        Ok(())
    }
}

/// Returns the interval from the beginning of a fault until now.
fn interval<T>(active: &ActiveFault, subject: T) -> Interval<T> {
    Interval {
        from: active.began,
        to: Instant::now(),
        subject,
    }
}
