//! Rollouts of services' versions: which requests go to a target version, and how they end there.

use {
    crate::{
        CallId,
        call::{Attempt, SelectionState},
        dispatcher::Dispatcher,
    },
    pick::WorkerKey,
    rollout::{Lane, Side},
    unit::Time,
};

impl Dispatcher {
    /// Whether a new request is one that goes to the target version of its service's rollout.
    pub(crate) fn draw_canary(&mut self, now: Time, service: &str) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|rollout| rollout.draw(now, &mut self.rng))
    }

    /// Gives a request that no worker of the target version can take now to the other versions.
    /// Returns whether it was one.
    pub(crate) fn leave_canary(&mut self, now: Time, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let leaves = call.canary && call.candidate.is_none() && call.probe.is_none();
        if !leaves || call.selection == SelectionState::Idle {
            return false;
        }
        call.canary = false;
        call.clear_round();
        self.select_worker(now, id);
        true
    }

    /// Whether a request may be sent to a worker, as far as the rollout of its service goes.
    pub(crate) fn rollout_admits(&self, now: Time, worker: WorkerKey) -> bool {
        let Some(record) = self.table.get(worker) else {
            return false;
        };
        let rollout = self.rollouts.get(&record.worker.service);
        rollout.is_none_or(|rollout| {
            record.worker.version != rollout.object().target || rollout.admits(now)
        })
    }

    /// Counts a send for the rollout of its service. `first` is whether the request wasn't sent
    /// before.
    pub(crate) fn count_send(&mut self, worker: WorkerKey, first: bool) {
        let Some(record) = self.table.get(worker) else {
            return;
        };
        let Some(rollout) = self.rollouts.get_mut(&record.worker.service) else {
            return;
        };
        if first {
            rollout.record_request();
        }
        if record.worker.version == rollout.object().target {
            rollout.record_exposed();
        }
    }

    /// Records the end of an attempt for the rollout of its service: served, failed, or for `None`
    /// cancelled before its response.
    pub(crate) fn record_version(&mut self, route: &str, attempt: &Attempt, failed: Option<bool>) {
        let Some(record) = self.table.get(attempt.worker) else {
            return;
        };
        let Some(rollout) = self.rollouts.get_mut(&record.worker.service) else {
            return;
        };
        let side = if record.worker.version == rollout.object().target {
            Side::Target
        } else {
            Side::Old
        };
        let took = self.now.since(attempt.sent_at);
        match failed {
            Some(failed) => rollout.record_end(route, side, took, failed),
            None => rollout.record_cancelled(route, side, took),
        }
    }

    /// Whether a worker gets only requests that are chosen for a target version.
    pub(crate) fn is_canary(&self, worker: WorkerKey) -> bool {
        let record = self.table.get(worker);
        record.is_some_and(|record| record.lane() == Lane::Canary)
    }
}
