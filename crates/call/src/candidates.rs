//! Turning the responses to health probes into candidates, and choosing the better candidate.

use {
    crate::{
        CallId,
        call::{Call, Candidate, Probe},
        dispatcher::Dispatcher,
        selection::WARM_MAX_AGE,
    },
    pick::{WorkerKey, WorkerTable},
    site::{HealthReport, LoadReport},
    unit::{Span, Time},
};

/// How many requests above the lowest priority a worker may be given beyond its slots, capped by
/// the number of its slots.
const URGENT_QUEUE: u32 = 2;
/// A healthy candidate is taken without further probes if its response is expected within this
/// fraction of the time left of the latency objective.
const FIT_FRACTION: f64 = 0.9;

impl Dispatcher {
    /// Handles a worker's response to a probe: keeps the better of this worker and the candidate so
    /// far, and ends the round of worker selection if this worker is good enough. A worker that
    /// responds with another id is not used: it now has the address of the one to be probed.
    pub(crate) fn probe_succeeded(
        &mut self,
        now: Time,
        id: CallId,
        probe: Probe,
        health: &HealthReport,
    ) {
        self.note_reached(now, probe.worker);
        if let Some(call) = self.calls.get_mut(&id) {
            call.answers += 1;
            call.reached = true;
        }
        let Some(record) = self.table.get(probe.worker) else {
            self.close_link(probe.link);
            self.select_worker(now, id);
            return;
        };
        if health.id.as_ref().is_some_and(|id| *id != record.worker.id) {
            self.table.record_misdirected(probe.worker, now);
            self.close_link(probe.link);
            self.record_skip(now, id, probe.worker, None, health.load);
            self.select_worker(now, id);
            return;
        }
        self.record_health(now, probe.worker, health);
        let Some(candidate) = self.make_candidate(now, id, probe, health) else {
            self.release_link(probe.link);
            self.record_skip(now, id, probe.worker, None, health.load);
            self.select_worker(now, id);
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let fits =
            candidate.expected <= call.objective_left(now).scale(FIT_FRACTION) && health.healthy;
        let worse = call.candidate.replace(candidate).map(|old| {
            if old.expected <= candidate.expected {
                (old, candidate)
            } else {
                (candidate, old)
            }
        });
        if let Some((better, worse)) = worse {
            call.candidate = Some(better);
            self.discard_candidate(&worse);
            self.record_skip(now, id, worse.worker, None, worse.load);
        }
        if fits {
            self.conclude_selection(now, id);
        } else {
            self.select_worker(now, id);
        }
    }

    /// The probed worker as a candidate; `None` if the request may not be sent to it. Takes a
    /// permit for it if it is cold.
    pub(crate) fn make_candidate(
        &mut self,
        now: Time,
        id: CallId,
        probe: Probe,
        health: &HealthReport,
    ) -> Option<Candidate> {
        let call = self.calls.get(&id)?.clone();
        if !self.table.may_send(probe.worker, now) {
            return None;
        }
        if let Some(load) = health.load
            && !self.fits(now, &call, probe.worker, load)
        {
            return None;
        }
        let cold = match health.cold_remaining {
            Some(remaining) => remaining > Span::ZERO,
            None => self.may_be_cold(now, probe.worker),
        };
        if cold && !self.take_cold_permit(now, &call, probe.worker) {
            return None;
        }
        let estimate = *self.latency_estimate(&call);
        let record = self.table.get(probe.worker)?;
        Some(Candidate {
            cold,
            expected: record.expected_latency(now, &estimate),
            found_at: now,
            link: probe.link,
            load: health.load,
            cold_permit: cold.then_some(now),
            worker: probe.worker,
        })
    }

    /// Whether a worker with this load may get the request. Requests above the lowest priority of
    /// their service may wait in a worker's queue; others need a free slot. Under overload this
    /// serves the higher priorities first.
    pub(crate) fn has_room(&self, call: &Call, load: LoadReport) -> bool {
        let queue = if self.is_urgent(call) {
            URGENT_QUEUE
        } else {
            0
        };
        load.running + load.waiting < load.slots + queue.min(load.slots)
    }

    /// Whether the request is above the lowest priority of its service.
    pub(crate) fn is_urgent(&self, call: &Call) -> bool {
        let lowest = self.lowest_priority.get(&call.service);
        lowest.is_some_and(|lowest| call.priority() < *lowest)
    }

    /// Whether a worker that told nothing of its cold start may be in one.
    fn may_be_cold(&self, now: Time, worker: WorkerKey) -> bool {
        let record = self.table.get(worker);
        record.is_none_or(|record| record.may_be_cold(now, WARM_MAX_AGE))
    }

    /// Takes a permit from this daemon's share of the requests that a cold worker may get.
    pub(crate) fn take_cold_permit(&mut self, now: Time, call: &Call, worker: WorkerKey) -> bool {
        let Some(service) = self.config.services.get(&call.service) else {
            return false;
        };
        let bounds = &self.policy.bounds;
        let limit = WorkerTable::cold_rate_limit(service, bounds.cold_factor, bounds.cold_slack);
        self.table.take_cold_permit(worker, now, limit)
    }
}
