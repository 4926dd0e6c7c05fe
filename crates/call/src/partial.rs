//! What becomes of a response of which only a part has arrived. What no caller is to get takes no
//! memory: a faulty worker may send it to many requests at once, and without end.

use crate::{AttemptEnding, keeps_whole};

/// The longest body of a refusal whose end is awaited, so that its connection can be kept, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// How much of a response to another request is read past, in bytes.
const MAX_SKIPPED_BYTES: usize = 16 << 20;

/// The body of a response that is still arriving.
#[derive(Clone, Copy, Debug)]
pub struct PartialBody {
    /// How many bytes of it have arrived.
    pub arrived: usize,
    /// How many of these are in memory.
    pub buffered: usize,
    /// Its length in bytes; `None` if it isn't known in advance.
    pub length: Option<usize>,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialVerdict {
    /// The attempt ends with what the head says; the rest isn't awaited.
    End,
    /// It is kept until it is complete.
    Keep,
    /// It is passed on to the caller while it arrives.
    PassOn,
    /// It is no response that may be delivered; the attempt fails.
    Reject,
    /// It answers another request; what has arrived of it is dropped.
    Skip,
}

impl PartialVerdict {
    /// Decides by how the attempt would end with this response, `None` if it answers another
    /// request. `all_buffered` tells what the daemon has in memory of all responses, in bytes.
    pub fn new(
        ending: Option<AttemptEnding>,
        body: PartialBody,
        all_buffered: impl Fn() -> usize,
    ) -> Self {
        let size = body.length.unwrap_or(body.arrived);
        let keeps = || keeps_whole(body.length, body.buffered, &all_buffered);
        match ending {
            None if size <= MAX_SKIPPED_BYTES => Self::Skip,
            Some(AttemptEnding::Served) if keeps() => Self::Keep,
            Some(AttemptEnding::Served) => Self::PassOn,
            Some(AttemptEnding::Failed) if keeps() => Self::Keep,
            Some(AttemptEnding::NotRun | AttemptEnding::Misdirected) => {
                if size <= MAX_REFUSAL_BYTES {
                    Self::Keep
                } else {
                    Self::End
                }
            }
            None
            | Some(
                AttemptEnding::Failed
                | AttemptEnding::InvalidResponse
                | AttemptEnding::Lost
                | AttemptEnding::Unsent,
            ) => Self::Reject,
        }
    }
}
