//! Requests that leave their data centre: when one may, and what that costs.

use {
    crate::{LinkId, call::Call, dispatcher::Dispatcher},
    pick::{Selection, TransferEstimate, WorkerKey, has_remote_room},
    site::LoadReport,
    unit::{Map, Name, Time},
};

/// What left this daemon's data centre for one service since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeavingCount {
    /// The bytes of requests and responses.
    pub bytes: u64,
    /// The times that a request waited for a worker of its own data centre though another data
    /// centre had one.
    pub held: u64,
    /// The requests sent to workers of other data centres, retries and hedges included.
    pub sends: u64,
}

impl Dispatcher {
    /// Counts of what left this daemon's data centre, by service.
    pub const fn leaving_counts(&self) -> &Map<Name, LeavingCount> {
        &self.leaving
    }

    /// Records the bytes of a request and its response, as far as they are known.
    pub fn record_transfer(&mut self, link: LinkId, bytes: usize) {
        let Some(call) = self.links.get(&link).and_then(|id| self.calls.get(id)) else {
            return;
        };
        let estimate = self.transfers.entry(call.route.name.clone()).or_default();
        estimate.record(bytes);
        let attempt = call.attempts.iter().find(|attempt| attempt.link == link);
        if attempt.is_some_and(|attempt| !self.table.is_local(attempt.worker)) {
            let count = self.leaving.entry(call.service.clone()).or_default();
            count.bytes += bytes as u64;
        }
    }

    /// Whether a request waits for a worker of its own data centre in place of a selected one. It
    /// never does if the service has no worker that is usable there.
    pub(crate) fn must_hold(&self, now: Time, call: &Call, selected: Selection) -> bool {
        let Some(price) = self.policy.transfer_price else {
            return false;
        };
        if selected.local || !self.table.has_local(&call.service, now) {
            return false;
        }
        let transfer = self.transfers.get(&call.route.name).copied();
        let bytes = transfer.unwrap_or_else(TransferEstimate::default).bytes();
        let expected = self.known_latency(call).baseline();
        let hold = price.hold(bytes, call.route.objective, expected);
        now < call.arrived_at + hold && self.may_back_off(now, call)
    }

    /// Whether a worker with this load may get the request. One of another data centre must have
    /// room to spare, if bytes have a price, for as long as a worker of the own data centre may
    /// still serve the request in time.
    pub(crate) fn fits(&self, now: Time, call: &Call, worker: WorkerKey, load: LoadReport) -> bool {
        let takes_any = || {
            self.policy.transfer_price.is_none()
                || self.table.is_local(worker)
                || !self.table.has_local(&call.service, now)
                || !self.may_back_off(now, call)
        };
        self.has_room(call, load) && (has_remote_room(load) || takes_any())
    }

    /// Counts a time that a request waits for a worker of its own data centre.
    pub(crate) fn count_held(&mut self, service: &Name) {
        self.leaving.entry(service.clone()).or_default().held += 1;
    }

    /// Counts a request that is sent to another data centre.
    pub(crate) fn count_leaving(&mut self, service: &Name) {
        self.leaving.entry(service.clone()).or_default().sends += 1;
    }
}
