//! The end of callers' connections.

use {
    crate::{
        callers::{PendingResponse, ResponseProgress},
        conn::ConnKind,
        daemon::Daemon,
        listeners::ListenerKind,
        log_event,
    },
    call::CallEvent,
    serde_json::json,
    std::collections::VecDeque,
    unit::Time,
};

impl Daemon {
    /// Reads no further requests on connections whose newest request is in flight; they close after
    /// its response. With `idle_too`, also closes connections on which no response is due and no
    /// request has begun to arrive.
    pub(crate) fn close_callers(&mut self, now: Time, idle_too: bool) {
        let conn_keys: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, conn)| matches!(conn.kind, ConnKind::Caller(_)))
            .map(|(conn_key, _)| conn_key)
            .collect();
        for conn_key in conn_keys {
            let Some(caller) = self.caller_conn(conn_key) else {
                continue;
            };
            if let Some(pending) = caller.pipeline.back_mut() {
                if pending.progress == ResponseProgress::Awaited {
                    pending.last = true;
                    caller.closing = true;
                }
            } else if idle_too && !caller.has_partial_request() {
                self.linger(conn_key, now);
            }
        }
    }

    /// Handles that a caller's connection ended: cancels its requests in flight.
    pub(crate) fn caller_closed(&mut self, now: Time, conn_key: usize) {
        let Some(caller) = self.caller_conn(conn_key) else {
            return;
        };
        let pipeline = std::mem::take(&mut caller.pipeline);
        self.remove_conn(conn_key);
        self.cancel_requests(now, pipeline);
    }

    /// Closes a caller's connection in the middle of a response, so that the response is seen to be
    /// incomplete, after everything before it; cancels the requests behind it.
    pub(crate) fn cut_caller(&mut self, now: Time, conn_key: usize) {
        let Some(caller) = self.caller_conn(conn_key) else {
            return;
        };
        let pipeline = std::mem::take(&mut caller.pipeline);
        self.linger(conn_key, now);
        self.cancel_requests(now, pipeline);
    }

    /// Cancels the requests whose caller doesn't get a response any more.
    fn cancel_requests(&mut self, now: Time, pipeline: VecDeque<PendingResponse>) {
        for id in pipeline.into_iter().filter_map(|pending| pending.call) {
            let active = match self.calls.remove(&id) {
                Some(active) => {
                    self.cancel_quota_wait(id);
                    self.dispatch(now, CallEvent::CallerDisconnected(id));
                    Some(active)
                }
                None => self.abandon_relay(id),
            };
            if let Some(active) = active {
                let fields = json!({
                    "request": active.id,
                    "elapsed_ms": now.since(active.started).as_millis(),
                });
                self.log_event(now, log_event::CALLER_GONE, fields);
            }
        }
    }

    /// Stops accepting connections from callers.
    pub(crate) fn stop_accepting(&mut self) {
        self.listeners.close(ListenerKind::Callers);
    }
}
