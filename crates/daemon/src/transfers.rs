//! What leaves this daemon's data centre, for the estimates of routes and for the metrics.

use {crate::daemon::Daemon, call::LinkId};

impl Daemon {
    /// Records the bytes of the request on a link and of its response, before its end is reported.
    pub(crate) fn record_transfer(&mut self, link: LinkId, response_bytes: usize) {
        let call = self.dispatcher.call_of(link);
        let Some(active) = call.and_then(|call| self.calls.get(&call)) else {
            return;
        };
        let bytes = active.request.body.len() + response_bytes;
        self.dispatcher.record_transfer(link, bytes);
    }

    /// Brings the metrics of what left the data centre up to date.
    pub(crate) fn update_leaving_metrics(&self) {
        for (service, count) in self.dispatcher.leaving_counts() {
            self.metrics.set_leaving(service, count);
        }
    }
}
