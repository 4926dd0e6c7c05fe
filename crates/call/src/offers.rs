//! What workers that were asked offer, and which of it is taken.

use {
    crate::{
        CallId,
        call::{Ask, Call, Offer},
        dispatcher::Dispatcher,
    },
    pick::{Standing, WorkerKey, WorkerTable},
    site::{HealthReport, LoadReport},
    unit::{Span, Time},
};

/// Requests beyond its slots that a worker gets from requests above the lowest rank.
const URGENT_QUEUE: u32 = 2;
/// The part of what is left of the objective within which an answer must be expected for a worker
/// to be taken at once.
const FIT: f64 = 0.9;
impl Dispatcher {
    /// Weighs what a worker said of itself.
    pub(crate) fn room(&mut self, now: Time, id: CallId, ask: Ask, health: &HealthReport) {
        let Some(belief) = self.table.get(ask.worker) else {
            self.drop_link(ask.link);
            self.search(now, id);
            return;
        };
        if health.id.as_ref().is_some_and(|id| *id != belief.worker.id) {
            self.table.record_misdirected(ask.worker, now);
            self.drop_link(ask.link);
            self.passed(now, id, ask.worker, None, health.load);
            self.search(now, id);
            return;
        }
        self.table.record_health(ask.worker, now, health);
        let Some(offer) = self.offer(now, id, ask, health) else {
            self.release(ask.link);
            self.passed(now, id, ask.worker, None, health.load);
            self.search(now, id);
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let good = offer.expected <= call.left(now).scale(FIT) && health.healthy;
        let worse = call.offer.replace(offer).map(|old| {
            if old.expected <= offer.expected {
                (old, offer)
            } else {
                (offer, old)
            }
        });
        if let Some((better, worse)) = worse {
            call.offer = Some(better);
            self.decline(&worse);
            self.passed(now, id, worse.worker, None, worse.load);
        }
        if good {
            self.settle(now, id);
        } else {
            self.search(now, id);
        }
    }

    /// What the worker offers; `None` where the request may not go there.
    pub(crate) fn offer(
        &mut self,
        now: Time,
        id: CallId,
        ask: Ask,
        health: &HealthReport,
    ) -> Option<Offer> {
        let call = self.calls.get(&id)?.clone();
        if self.table.standing(ask.worker, now) == Standing::Barred {
            return None;
        }
        if let Some(load) = health.load
            && !self.has_room(&call, load)
        {
            return None;
        }
        let cold = health.cold_remaining > Span::ZERO;
        if cold && !self.take_cold(now, &call, ask.worker) {
            return None;
        }
        let work = *self.work(&call);
        let belief = self.table.get(ask.worker)?;
        Some(Offer {
            cold,
            expected: belief.expected_latency(now, &work),
            link: ask.link,
            load: health.load,
            permit: cold.then_some(now),
            worker: ask.worker,
        })
    }

    /// Requests above the lowest rank of their service may wait at a worker, others need a free slot.
    /// Under more load than the workers bear, this serves the higher ranks first.
    pub(crate) fn has_room(&self, call: &Call, load: LoadReport) -> bool {
        let queue = if self.urgent(call) { URGENT_QUEUE } else { 0 };
        load.running + load.waiting < load.slots + queue.min(load.slots)
    }

    pub(crate) fn urgent(&self, call: &Call) -> bool {
        let lowest = self.lowest.get(&call.service);
        lowest.is_some_and(|lowest| call.route.priority < *lowest)
    }

    pub(crate) fn take_cold(&mut self, now: Time, call: &Call, worker: WorkerKey) -> bool {
        let Some(service) = self.config.services.get(&call.service) else {
            return false;
        };
        let bounds = &self.policy.bounds;
        let bound = WorkerTable::cold_rate_limit(service, bounds.cold_factor, bounds.cold_slack);
        self.table.take_cold_permit(worker, now, bound)
    }
}
