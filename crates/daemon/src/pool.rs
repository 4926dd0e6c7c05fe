//! Connection pools for workers: opens, keeps and closes connections.

use {
    crate::{
        conn::ConnKind,
        constants::{WORKER_CONN_FRACTION, WORKER_IDLE_TIMEOUT},
        daemon::Daemon,
        workers::{LinkState, WorkerConn, WorkerPhase},
    },
    pick::WorkerKey,
    unit::Time,
    wire::{Limits, ResponseReader},
};

/// The connections to one worker.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Keys in `Daemon::conns` of the idle connections, the most recently used last.
    pub(crate) idle: Vec<usize>,
    /// The number of open connections, idle or in use.
    pub(crate) open: usize,
}

impl Daemon {
    /// Closes the idle connections to workers that are no longer in the worker table.
    pub(crate) fn prune_pools(&mut self) {
        let removed: Vec<WorkerKey> = self
            .pools
            .keys()
            .filter(|key| self.dispatcher.table.get(**key).is_none())
            .copied()
            .collect();
        for key in removed {
            let idle = self
                .pools
                .get_mut(&key)
                .map(|pool| std::mem::take(&mut pool.idle));
            for conn_key in idle.into_iter().flatten() {
                self.close_worker(conn_key);
            }
            if self.pools.get(&key).is_some_and(|pool| pool.open == 0) {
                self.pools.remove(&key);
            }
        }
    }

    /// Closes the idle connections to a service's workers.
    pub(crate) fn close_idle(&mut self, service: &str) {
        let table = &self.dispatcher.table;
        let of_service = |key: &WorkerKey| {
            let record = table.get(*key);
            record.is_some_and(|record| &*record.worker.service == service)
        };
        let pools = self.pools.iter_mut().filter(|(key, _)| of_service(key));
        let idle: Vec<usize> = pools
            .flat_map(|(_, pool)| std::mem::take(&mut pool.idle))
            .collect();
        for conn_key in idle {
            self.close_worker(conn_key);
        }
    }

    /// Opens a connection to a worker. `None` if the worker or its service is unknown, the system
    /// refuses to connect, or this daemon has used up its share of the worker's connections, which
    /// is at least one.
    pub(crate) fn open_worker(&mut self, now: Time, key: WorkerKey) -> Option<usize> {
        let record = self.dispatcher.table.get(key)?;
        let address = record.worker.address;
        let config = self.config.as_ref()?;
        let conns = config.services.get(&record.worker.service)?.max_conns;
        let share =
            f64::from(conns) * WORKER_CONN_FRACTION / self.dispatcher.table.member_count() as f64;
        let pool = self.pools.entry(key).or_default();
        if pool.open >= (share as usize).max(1) {
            return None;
        }
        let kind = ConnKind::Worker(WorkerConn {
            phase: WorkerPhase::Idle,
            reader: new_reader(),
            reused: false,
            key,
        });
        // The error is dropped: the dispatcher logs that no connection was available.
        let conn_key = self.connect(address, kind, now).ok()?;
        self.pools.entry(key).or_default().open += 1;
        self.metrics.connections.inc();
        self.set_timer(conn_key, now + WORKER_IDLE_TIMEOUT);
        Some(conn_key)
    }

    /// Replaces a reserved connection that can no longer be used by a new one. If none can be
    /// opened, the dispatcher learns of it when it sends the request.
    pub(crate) fn replace_reserved(&mut self, now: Time, conn_key: usize) {
        let Some(worker) = self.worker_conn(conn_key) else {
            return;
        };
        let (WorkerPhase::Reserved(link), key) = (&worker.phase, worker.key) else {
            return;
        };
        let link = *link;
        self.close_worker(conn_key);
        match self.open_worker(now, key) {
            Some(conn_key) => {
                if let Some(worker) = self.worker_conn(conn_key) {
                    worker.phase = WorkerPhase::Reserved(link);
                }
                self.links.insert(link, LinkState::Conn(conn_key));
            }
            None => {
                self.links.remove(&link);
            }
        }
    }

    /// Returns a connection to the pool; closes it if unexpected bytes have arrived on it or the
    /// worker is no longer in the table.
    pub(crate) fn release_worker(&mut self, now: Time, conn_key: usize) {
        let Some(worker) = self.worker_conn(conn_key) else {
            return;
        };
        worker.phase = WorkerPhase::Idle;
        worker.reused = true;
        let (key, leftover) = (worker.key, worker.reader.has_pending());
        if leftover || self.dispatcher.table.get(key).is_none() {
            self.close_worker(conn_key);
            return;
        }
        self.pools.entry(key).or_default().idle.push(conn_key);
        self.set_timer(conn_key, now + WORKER_IDLE_TIMEOUT);
    }

    /// Closes a connection and removes it from the pool.
    pub(crate) fn close_worker(&mut self, conn_key: usize) {
        let Some(conn) = self.remove_conn(conn_key) else {
            return;
        };
        if let ConnKind::Worker(worker) = conn.kind
            && let Some(pool) = self.pools.get_mut(&worker.key)
        {
            pool.open = pool.open.saturating_sub(1);
            pool.idle.retain(|other| *other != conn_key);
        }
    }
}

/// A reader for the responses of a worker, with the limit on their bodies.
fn new_reader() -> ResponseReader {
    ResponseReader::new(Limits {
        // The daemon itself decides what to do with a large response.
        body_bytes: usize::MAX,
        ..Limits::default()
    })
}
