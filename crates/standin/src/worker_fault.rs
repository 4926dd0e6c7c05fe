//! The faults of stand-in workers, and what they make of a response.

use {
    crate::server::{FLOOD_CHUNK_BYTES, Reply, endless_body},
    platform::standin::not_run_response,
    std::time::Duration,
    wire::Response,
};

/// How many interim responses are sent in one write.
const FLOOD_REPEATS: usize = 200;

/// The fault of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// Runs requests and responds to them with status 500.
    Errors,
    /// Sends a refusal that names no request ahead of each response, after running the request.
    ExtraRefusal,
    /// Sends an extra response, with the id of the request that ended before, ahead of each
    /// response.
    ExtraResponse,
    /// Sends a signed response whose body never ends.
    FloodsBody,
    /// Sends bytes without end after each complete response.
    FloodsIdle,
    /// Sends interim responses without end in place of a response.
    FloodsInterim,
    /// Sends a response without end to health probes.
    FloodsProbes,
    /// Runs requests and never responds.
    Hangs,
    /// Works normally.
    #[default]
    None,
    /// Turns health probes away after this time, naming neither itself nor a request.
    RefusesProbes(Duration),
    /// Runs requests and closes the connection without a response.
    Resets,
    /// Takes this many times as long as usual, without reporting it.
    Slow(u32),
    /// Sends responses without their last byte.
    Truncates,
}

impl WorkerFault {
    /// The reply to a request that was executed, made of its `response`; `late_response` makes an
    /// extra response with the id of the request that ended before.
    pub(crate) fn reply(
        self,
        response: &Response,
        late_response: impl FnOnce() -> Response,
    ) -> Reply {
        match self {
            Self::FloodsBody => endless_body(response),
            Self::FloodsIdle => {
                let mut head = Vec::new();
                response.encode(&mut head, false);
                let part = vec![b'.'; FLOOD_CHUNK_BYTES];
                Reply::Flood { head, part }
            }
            Self::FloodsInterim => Reply::Flood {
                head: Vec::new(),
                part: b"HTTP/1.1 102 Processing\r\n\r\n".repeat(FLOOD_REPEATS),
            },
            Self::Errors
            | Self::FloodsProbes
            | Self::None
            | Self::RefusesProbes(_)
            | Self::Slow(_) => Reply::Response(response.clone()),
            Self::ExtraResponse => {
                let mut bytes = Vec::new();
                late_response().encode(&mut bytes, false);
                response.encode(&mut bytes, false);
                Reply::RawBytes(bytes)
            }
            Self::ExtraRefusal => {
                let mut bytes = Vec::new();
                not_run_response(None).encode(&mut bytes, false);
                response.encode(&mut bytes, false);
                Reply::RawBytes(bytes)
            }
            Self::Hangs => Reply::Hang,
            Self::Resets => Reply::Close,
            Self::Truncates => truncated(response),
        }
    }
}

/// The reply that is a response without its last byte.
pub(crate) fn truncated(response: &Response) -> Reply {
    let mut bytes = Vec::new();
    response.encode(&mut bytes, false);
    bytes.pop();
    Reply::RawBytes(bytes)
}
