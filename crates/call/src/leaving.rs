//! Requests that leave their data centre: when one may, and what that costs.

use {
    crate::{LinkId, call::Call, dispatcher::Dispatcher},
    pick::{Selection, TransferEstimate, has_remote_room},
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
    pub(crate) fn is_held(&mut self, now: Time, call: &Call, selected: Selection) -> bool {
        let Some(price) = self.policy.transfer_price else {
            return false;
        };
        if selected.local || !self.table.has_local(&call.service, now) {
            return false;
        }
        let transfer = self.transfers.get(&call.route.name).copied();
        let bytes = transfer.unwrap_or_else(TransferEstimate::default).bytes();
        let expected = self.latency_estimate(call).baseline();
        let hold = price.hold(bytes, call.route.objective, expected);
        let held = now < call.arrived_at + hold && self.may_back_off(now, call);
        if held {
            self.leaving.entry(call.service.clone()).or_default().held += 1;
        }
        held
    }

    /// Whether a worker of another data centre has room for one of this data centre's requests.
    pub(crate) fn may_overflow(&self, load: LoadReport) -> bool {
        self.policy.transfer_price.is_none() || has_remote_room(load)
    }

    /// Counts a request that is sent to another data centre.
    pub(crate) fn count_leaving(&mut self, service: &Name) {
        self.leaving.entry(service.clone()).or_default().sends += 1;
    }
}
