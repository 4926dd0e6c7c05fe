//! The faults of stand-in workers, and what they make of a response.

use {
    crate::server::{FLOOD_CHUNK_BYTES, Reply, endless_body},
    platform::standin::{not_run_response, unsign_response},
    std::time::Duration,
    wire::{BodyCoding, Response},
};

/// The name of the line with the body's length.
const LENGTH_NAME: &[u8] = b"Content-Length";
/// The line end that follows the last header line.
const HEAD_END: &[u8] = b"\r\n";

/// How many interim responses are sent in one write.
const FLOOD_REPEATS: usize = 200;

/// The fault of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// Closes the connection in the middle of each response's head.
    CutsHead,
    /// Runs requests and responds to them with status 500.
    Errors,
    /// Sends a refusal that names no request ahead of each response, after running the request.
    ExtraRefusal,
    /// Sends an extra response, with the id of the request that ended before, ahead of each
    /// response.
    ExtraResponse,
    /// Sends a signed response whose body never ends.
    FloodsBody,
    /// Sends a response with status 500 whose body never ends.
    FloodsErrors,
    /// Sends a head that never ends.
    FloodsHead,
    /// Sends bytes without end after each complete response.
    FloodsIdle,
    /// Sends interim responses without end in place of a response.
    FloodsInterim,
    /// Sends a response to another request whose body never ends.
    FloodsOther,
    /// Sends a response without end to health probes.
    FloodsProbes,
    /// Turns requests away, without running them, with a response whose body never ends.
    FloodsRefusal,
    /// Sends a response without a signature whose body never ends.
    FloodsUnsigned,
    /// Runs requests and never responds.
    Hangs,
    /// Works normally.
    #[default]
    None,
    /// Turns health probes away after this time, naming neither itself nor a request.
    RefusesProbes(Duration),
    /// Refuses every third request, and sends a copy of the last refusal on the connections of the
    /// requests that it runs: once while the request runs, and once after its response.
    RepeatsRefusal,
    /// Runs requests and closes the connection without a response.
    Resets,
    /// Sends responses in whose heads one bit is wrong, but none of the body's length: a wrong length can't
    /// be told from the right one.
    SpoilsBits,
    /// Sends responses with status 000.
    SpoilsStatus,
    /// Sends responses in whose heads the name of the line with the body's length holds this byte.
    SpoilsName(u8),
    /// Takes this many times as long as usual, without reporting it.
    Slow(u32),
    /// Sends responses without their last byte.
    Truncates,
}

impl WorkerFault {
    /// The reply to a request that was executed, made of its `response`; `late_response` makes an
    /// extra response with the id of the request that ended before, and `refused` is the id of the
    /// request that was refused last.
    pub(crate) fn reply(
        self,
        response: &Response,
        late_response: impl FnOnce() -> Response,
        refused: Option<&str>,
    ) -> Reply {
        match self {
            Self::CutsHead => cut_head(response),
            Self::FloodsBody => endless_body(response),
            Self::FloodsErrors => endless_body(&Response {
                status: 500,
                ..response.clone()
            }),
            Self::FloodsHead => {
                let mut head = Vec::new();
                response.encode_head(&mut head, BodyCoding::Absent);
                head.truncate(head.len() - HEAD_END.len());
                Reply::Flood {
                    head,
                    part: b"A: b\r\n".repeat(FLOOD_REPEATS),
                }
            }
            Self::FloodsOther => endless_body(&late_response()),
            Self::FloodsUnsigned => {
                let mut unsigned = response.clone();
                unsign_response(&mut unsigned);
                endless_body(&unsigned)
            }
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
            | Self::FloodsRefusal
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
            Self::RepeatsRefusal => {
                let mut bytes = Vec::new();
                response.encode(&mut bytes, false);
                if refused.is_some() {
                    not_run_response(refused).encode(&mut bytes, false);
                }
                Reply::KeptBytes(bytes)
            }
            Self::Hangs => Reply::Hang,
            Self::Resets => Reply::Close,
            Self::SpoilsBits => one_bit_spoiled(response),
            Self::SpoilsStatus => spoiled(response, b" 200 ", |bytes| bytes[1] = b'0'),
            Self::SpoilsName(byte) => spoiled(response, b"Content-Length", |bytes| bytes[7] = byte),
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

/// The reply that is a response in which the first part that equals `sound` is changed.
fn spoiled(response: &Response, sound: &[u8], spoil: impl FnOnce(&mut [u8])) -> Reply {
    let mut bytes = Vec::new();
    response.encode(&mut bytes, false);
    let mut parts = bytes.windows(sound.len());
    if let Some(at) = parts.position(|part| part == sound) {
        spoil(&mut bytes[at..at + sound.len()]);
    }
    Reply::RawBytes(bytes)
}

/// The reply that is a response with one wrong bit in its head. Which one it is follows from the body,
/// which differs from request to request.
fn one_bit_spoiled(response: &Response) -> Reply {
    let mut bytes = Vec::new();
    response.encode(&mut bytes, false);
    let head = bytes.len() - response.body.len();
    let line = bytes.windows(LENGTH_NAME.len());
    let length = line.take(head).position(|part| part == LENGTH_NAME);
    let length = length.unwrap_or(head);
    let end = bytes[length..head].iter().position(|byte| *byte == b'\n');
    let length = length..end.map_or(head, |end| length + end);
    let mut rng = fastrand::Rng::with_seed(unit::digest([&response.body[..]]));
    let at = rng.usize(..head - length.len());
    let at = if at < length.start {
        at
    } else {
        at + length.len()
    };
    bytes[at] ^= 1 << rng.u32(..8);
    Reply::RawBytes(bytes)
}

/// The reply that ends within a response's head. Where it ends follows from the body, which differs
/// from request to request.
fn cut_head(response: &Response) -> Reply {
    let mut bytes = Vec::new();
    response.encode(&mut bytes, false);
    let head = bytes.len() - response.body.len();
    let sum: usize = response.body.iter().map(|byte| usize::from(*byte)).sum();
    bytes.truncate(sum % head);
    Reply::RawBytes(bytes)
}
