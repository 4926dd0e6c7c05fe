//! How faults begin and end.

use {
    crate::{
        config::config,
        error::StandinError,
        proxy::ProxyFault,
        soak::{
            fault::Fault,
            report::Spell,
            runner::{Active, CENTRES, Player, WORK},
        },
        store::StoreFault,
        upstream::{Upstream, WorkerFault},
    },
    nix::sys::signal::Signal,
    std::time::{Duration, Instant},
    unit::Name,
};

/// How long a daemon that was told to stop may go on.
const STOP: Duration = Duration::from_secs(8);

impl Player {
    pub(crate) fn begin(&mut self, fault: Fault, length: Duration) -> Result<(), StandinError> {
        let began = Instant::now();
        let size = self.fleet.size();
        let worker = self.worker_of(fault);
        match fault {
            Fault::Compact => self.fleet.store.compact(),
            Fault::Config => {
                self.version += 1;
                self.fleet.store.put_config(&config(self.version));
            }
            Fault::Evacuate(at) => self.fleet.store.evacuate(CENTRES[at % CENTRES.len()]),
            Fault::Kill(at) if self.whole(at % size) => self.fleet.kill(at % size),
            Fault::LoseAnswers => self.fleet.store.drop_responses(2),
            Fault::Pause(at) if self.whole(at % size) => {
                self.fleet.signal(at % size, Signal::SIGSTOP)?;
            }
            Fault::Reload(at) if self.whole(at % size) => {
                self.fleet.signal(at % size, Signal::SIGHUP)?;
            }
            Fault::Store(mood) => self.fleet.store.set_fault(mood),
            Fault::StoreProxy(at, harm) => self.fleet.store_proxies[at % size].set_fault(harm),
            Fault::Term(at) if self.whole(at % size) => {
                self.fleet.signal(at % size, Signal::SIGTERM)?;
            }
            Fault::Kill(_) | Fault::Pause(_) | Fault::Reload(_) | Fault::Term(_) => return Ok(()),
            Fault::Worker(at, fault) => self.worker(at).set_fault(fault),
            Fault::WorkerCold(at) => self.worker(at).set_cold(length),
            Fault::WorkerDies(at) => self.replace(at, false)?,
            Fault::WorkerLeaves(at) => self.replace(at, true)?,
            Fault::WorkerProxy(at, harm) => {
                if let Some(link) = self.fleet.worker_proxies.get(&self.worker(at).entry.id) {
                    link.set_fault(harm);
                }
            }
            Fault::WorkerSlow(at) => self.worker(at).set_latency_percent(500),
        }
        self.active.push(Active {
            began,
            ends: began + length,
            fault,
            worker,
        });
        Ok(())
    }

    pub(crate) fn end(&mut self, active: &Active) -> Result<(), StandinError> {
        let size = self.fleet.size();
        match active.fault {
            Fault::Evacuate(at) => {
                let centre = CENTRES[at % CENTRES.len()];
                self.fleet.store.end_evacuation(centre);
                self.history.evacuated.push(spell(active, centre));
            }
            Fault::Kill(at) => {
                self.fleet.launch(at % size)?;
                self.history.harmed.push(spell(active, at % size));
            }
            Fault::Pause(at) => {
                self.fleet.signal(at % size, Signal::SIGCONT)?;
                self.history.harmed.push(spell(active, at % size));
            }
            Fault::Store(_) => self.fleet.store.set_fault(StoreFault::None),
            Fault::StoreProxy(at, _) => {
                self.fleet.store_proxies[at % size].set_fault(ProxyFault::None)
            }
            Fault::Term(at) => {
                self.fleet.wait_stopped(at % size, STOP)?;
                self.fleet.launch(at % size)?;
            }
            Fault::Worker(..) | Fault::WorkerProxy(..) | Fault::WorkerSlow(_) => {
                self.mend(active.worker.as_ref());
            }
            Fault::WorkerLeaves(_) => self.rewrite(active.worker.as_ref()),
            Fault::Compact
            | Fault::Config
            | Fault::LoseAnswers
            | Fault::Reload(_)
            | Fault::WorkerCold(_)
            | Fault::WorkerDies(_) => {}
        }
        if active.fault.unsettles() {
            self.history.unsettled.push(spell(active, ()));
        }
        Ok(())
    }

    fn worker(&self, at: usize) -> &Upstream {
        &self.fleet.workers[at % self.fleet.workers.len()]
    }

    fn worker_of(&self, fault: Fault) -> Option<Name> {
        match fault {
            Fault::Worker(at, _)
            | Fault::WorkerLeaves(at)
            | Fault::WorkerProxy(at, _)
            | Fault::WorkerSlow(at) => Some(self.worker(at).entry.id.clone()),
            _ => None,
        }
    }

    /// Changes the entry of a worker that leaves once more.
    fn rewrite(&self, id: Option<&Name>) {
        let same = |worker: &&Upstream| Some(&worker.entry.id) == id;
        if let Some(worker) = self.fleet.workers.iter().find(same) {
            let mut entry = worker.draining_entry();
            entry.heartbeats += 1;
            self.fleet.store.put_worker(&entry);
        }
    }

    /// Makes a worker well, where it is still there.
    fn mend(&self, id: Option<&Name>) {
        let same = |worker: &&Upstream| Some(&worker.entry.id) == id;
        if let Some(worker) = self.fleet.workers.iter().find(same) {
            worker.set_fault(WorkerFault::None);
            worker.set_latency_percent(100);
        }
        if let Some(link) = id.and_then(|id| self.fleet.worker_proxies.get(id)) {
            link.set_fault(ProxyFault::None);
        }
    }

    /// Puts a new worker in the place of one that dies, or that leaves and is then kept until the
    /// end, so that late requests to it are seen.
    fn replace(&mut self, at: usize, leaves: bool) -> Result<(), StandinError> {
        let at = at % self.fleet.workers.len();
        let id = format!("w-{}", self.next_worker);
        self.next_worker += 1;
        let centre = self.centres[&self.fleet.workers[at].entry.id];
        self.fleet.add_worker(&id, centre, WORK, true)?;
        self.centres.insert(id.as_str().into(), centre);
        let old = &self.fleet.workers[at];
        let old_id = old.entry.id.clone();
        if leaves {
            self.fleet.store.put_worker(&old.draining_entry());
            self.history.leaving.push((old_id, Instant::now()));
            // It stays in the list of workers, where faults may still befall it.
            return Ok(());
        }
        self.fleet.store.remove_worker(&old_id);
        self.fleet.worker_proxies.remove(&old_id);
        self.fleet.workers.remove(at);
        Ok(())
    }
}

fn spell<T>(active: &Active, what: T) -> Spell<T> {
    Spell {
        from: active.began,
        to: Instant::now(),
        what,
    }
}
