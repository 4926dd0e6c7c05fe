//! Checks whether workers that broke off a request have crashed.

use {
    crate::{conn::ConnKind, daemon::Daemon, workers::WorkerPhase},
    call::{CallEvent, LinkId, Liveness},
    pick::WorkerKey,
    unit::{Span, Time},
};

/// How long a worker may take to accept the connection of a check.
const CHECK_TIMEOUT: Span = Span::millis(300);

impl Daemon {
    /// Begins a new connection to a worker to learn whether it accepts it.
    pub(crate) fn check_worker(&mut self, now: Time, link: LinkId, worker: WorkerKey) {
        let Some(conn_key) = self.open_worker(now, worker) else {
            let ended = CallEvent::CheckEnded(link, Liveness::Unknown);
            self.call_events.push_back(ended);
            return;
        };
        if let Some(conn) = self.worker_conn(conn_key) {
            conn.phase = WorkerPhase::Checking(link);
        }
        self.set_timer(conn_key, now + CHECK_TIMEOUT);
    }

    /// Ends the check for which a connection was begun, if there is one, since the worker accepted
    /// it. The connection serves other requests.
    pub(crate) fn worker_connected(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        if let ConnKind::Worker(worker) = &conn.kind
            && let WorkerPhase::Checking(link) = worker.phase
            && conn.channel.connected
        {
            self.end_check(now, conn_key, link, Liveness::Alive);
        }
    }

    /// Reports the result of a check, and keeps its connection if the worker is alive.
    pub(crate) fn end_check(
        &mut self,
        now: Time,
        conn_key: usize,
        link: LinkId,
        liveness: Liveness,
    ) {
        if liveness == Liveness::Alive {
            self.release_worker(now, conn_key);
        } else {
            self.close_worker(conn_key);
        }
        self.dispatch(now, CallEvent::CheckEnded(link, liveness));
    }
}
