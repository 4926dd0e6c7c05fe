//! The messages around a forwarded request and its response.

use {
    serde::{Deserialize, Serialize},
    unit::{Name, Span},
};

/// Precedes a request that is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// To how many workers the request may be sent.
    pub attempts: u32,
    /// The version of the configuration by which the service was picked.
    pub config: u64,
    /// The service that the request goes to.
    pub service: Name,
}

/// Precedes a request that is forwarded to a daemon that reads extended messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardExtended {
    /// The client account of the request's key, which isn't passed on; `None` if it has none.
    pub account: Option<Name>,
    /// What daemons of all builds are told.
    pub request: ForwardRequest,
}

/// A helper's answer to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The request has crashed workers and is barred for the span; this time it hasn't run.
    Barred(Span),
    /// The helper doesn't take the request; nothing was sent to a worker.
    Declined,
    /// The request was sent to a worker and may have run.
    Lost,
    /// The request hasn't run and won't; its caller may retry after the span.
    NotRun(Span),
    /// The response follows of the worker with this hash of its process run, if it is still known.
    Response(Option<u32>),
    /// No worker responded before the deadline; the request may have run.
    Timeout,
}
