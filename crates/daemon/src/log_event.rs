//! The numbered log events; docs/EVENTS.md explains each.

/// The kind of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogEvent {
    /// The value of the field `event`.
    pub(crate) name: &'static str,
    /// The value of the field `no`; from 400 to 499 for events about requests.
    pub(crate) number: u16,
}

macro_rules! events {
    ($($number:literal $ident:ident $name:literal;)*) => {
        $(pub(crate) const $ident: LogEvent = LogEvent { name: $name, number: $number };)*

    };
}

events! {
    100 START "start";
    101 READY "ready";
    102 LEAVING "leaving";
    103 STOP "stop";
    104 RELOAD "reload";
    105 RELOAD_REFUSED "reload-refused";
    106 LOG_LINES_LOST "log-lines-lost";
    200 STORE_LOST "store-lost";
    201 STORE_REGAINED "store-regained";
    202 WATCH_BEGUN "watch-begun";
    203 WATCH_ENDED "watch-ended";
    204 OBJECT_UNREADABLE "object-unreadable";
    205 REPLY_UNREADABLE "reply-unreadable";
    206 STORE_RESTORED "store-restored";
    207 WATCHES_RENEWED "watches-renewed";
    210 PEER_LOST "peer-lost";
    211 PEER_REGAINED "peer-regained";
    212 PEER_MESSAGE_REFUSED "peer-message-refused";
    213 MEMBER_REMOVED "member-removed";
    300 CONFIG_IN_FORCE "config-in-force";
    301 CENTRE_EVACUATED "centre-evacuated";
    302 CENTRE_RETURNED "centre-returned";
    303 WORKER_ENTERED "worker-entered";
    304 WORKER_GONE "worker-gone";
    305 WORKER_ENTRY_STALE "worker-entry-stale";
    306 ROUTE_PROBLEM "route-problem";
    307 WORKER_NOTICE "worker-notice";
    308 WORKER_CRASHED "worker-crashed";
    309 REQUEST_BARRED "request-barred";
    310 WORKERS_UNREACHED "workers-unreached";
    311 WORKERS_REACHED "workers-reached";
    312 ACCOUNT_PROBLEM "account-problem";
    313 WORKER_REJECTING "worker-rejecting";
    314 WORKER_ACCEPTING "worker-accepting";
    320 ROLLOUT_BEGUN "rollout-begun";
    321 ROLLOUT_SHIFTING "rollout-shifting";
    322 ROLLOUT_WRITING "rollout-writing";
    323 ROLLOUT_DECIDED "rollout-decided";
    324 ROLLOUT_HALTED "rollout-halted";
    325 ROLLOUT_REMOVED "rollout-removed";
    326 ROLLOUT_PROBLEM "rollout-problem";
    330 QUOTA_TENURE_BEGAN "quota-tenure-began";
    331 QUOTA_TENURE_ENDED "quota-tenure-ended";
    400 SENT "sent";
    401 ANSWERED "answered";
    402 PASSED "passed";
    403 WAITS "waits";
    404 REFUSED "refused";
    405 CALLER_GONE "caller-gone";
    406 REQUEST_BAD "request-bad";
    407 DELIVERED "delivered";
    408 RELAYED "relayed";
    409 RELAY_BROKEN "relay-broken";
    410 FORWARDED "forwarded";
    411 FORWARD_DECLINED "forward-declined";
    412 FORWARD_TAKEN "forward-taken";
    413 KEY_REFUSED "key-refused";
    414 OVER_QUOTA "over-quota";
    416 SHED "shed";
    417 RETRY_PERMIT "retry-permit";
    500 ACCEPT_FAILED "accept-failed";
    501 TURN_SLOW "turn-slow";
    502 RESPONSE_CUT "response-cut";
}
