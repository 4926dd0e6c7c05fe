//! The connections to workers: opening, keeping and closing them.

use {
    crate::{
        conn::ConnKind,
        daemon::Daemon,
        options::{CONNS_PART, MAX_ANSWER, WORKER_IDLE},
        workers::{Link, Phase, WorkerConn},
    },
    pick::WorkerKey,
    unit::Time,
    wire::{Limits, ResponseReader},
};

/// The connections to one worker.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Those that are free, the freshest last.
    pub(crate) idle: Vec<usize>,
    /// How many there are.
    pub(crate) open: usize,
}

impl Daemon {
    /// Closes the free connections to workers that are no longer known.
    pub(crate) fn prune_pools(&mut self) {
        let gone: Vec<WorkerKey> = self
            .pools
            .keys()
            .filter(|key| self.dispatcher.table.get(**key).is_none())
            .copied()
            .collect();
        for key in gone {
            let idle = self
                .pools
                .get_mut(&key)
                .map(|pool| std::mem::take(&mut pool.idle));
            for place in idle.into_iter().flatten() {
                self.drop_worker(place);
            }
            if self.pools.get(&key).is_some_and(|pool| pool.open == 0) {
                self.pools.remove(&key);
            }
        }
    }

    /// Opens a connection; `None` where this daemon may have no more of the worker's, or the system
    /// refuses one.
    pub(crate) fn open_worker(&mut self, now: Time, key: WorkerKey) -> Option<usize> {
        let belief = self.dispatcher.table.get(key)?;
        let address = belief.worker.address;
        let config = self.config.as_ref()?;
        let conns = config.services.get(&belief.worker.service)?.max_conns;
        let share = f64::from(conns) * CONNS_PART / self.dispatcher.table.member_count() as f64;
        let pool = self.pools.entry(key).or_default();
        if pool.open >= (share as usize).max(1) {
            return None;
        }
        let kind = ConnKind::Worker(WorkerConn {
            phase: Phase::Idle,
            reader: new_reader(),
            reused: false,
            worker: key,
        });
        // The desk logs that no connection could be had.
        let place = self.connect(address, kind, now).ok()?;
        self.pools.entry(key).or_default().open += 1;
        self.metrics.connections.inc();
        self.set_timer(place, now + WORKER_IDLE);
        Some(place)
    }

    /// Puts a new connection in the place of one on which the worker was asked and that can't be
    /// used any more. Where none can be had, the desk learns of it when it sends the request.
    pub(crate) fn replace_held(&mut self, now: Time, place: usize) {
        let Some(worker) = self.worker(place) else {
            return;
        };
        let (Phase::Held(link), key) = (&worker.phase, worker.worker) else {
            return;
        };
        let link = *link;
        self.drop_worker(place);
        match self.open_worker(now, key) {
            Some(place) => {
                if let Some(worker) = self.worker(place) {
                    worker.phase = Phase::Held(link);
                }
                self.links.insert(link, Link::Conn(place));
            }
            None => {
                self.links.remove(&link);
            }
        }
    }

    pub(crate) fn free_worker(&mut self, now: Time, place: usize) {
        let Some(worker) = self.worker(place) else {
            return;
        };
        worker.phase = Phase::Idle;
        worker.reused = true;
        let (key, dirty) = (worker.worker, worker.reader.has_pending());
        if dirty || self.dispatcher.table.get(key).is_none() {
            self.drop_worker(place);
            return;
        }
        self.pools.entry(key).or_default().idle.push(place);
        self.set_timer(place, now + WORKER_IDLE);
    }

    pub(crate) fn drop_worker(&mut self, place: usize) {
        let Some(conn) = self.remove_conn(place) else {
            return;
        };
        if let ConnKind::Worker(worker) = conn.kind
            && let Some(pool) = self.pools.get_mut(&worker.worker)
        {
            pool.open = pool.open.saturating_sub(1);
            pool.idle.retain(|other| *other != place);
        }
    }
}

fn new_reader() -> ResponseReader {
    ResponseReader::new(Limits {
        body_bytes: MAX_ANSWER,
        ..Limits::default()
    })
}
