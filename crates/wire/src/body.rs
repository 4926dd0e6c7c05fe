use crate::{Headers, WireError};

/// How a message's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Body {
    /// Chunks that end with an empty one.
    Chunked,
    /// Exactly this many bytes.
    Sized(usize),
    /// No framing header: nothing in a request, all until the close in an answer.
    Unframed,
}

impl Body {
    /// Reads the framing headers, refusing doubled and contradictory ones.
    pub(crate) fn of(headers: &Headers) -> Result<Self, WireError> {
        let mut sizes = headers.all("content-length");
        let size = sizes.next();
        let more = sizes.next().is_some();
        let mut codings = headers.all("transfer-encoding");
        let coding = codings.next();
        match (size, coding) {
            _ if more || codings.next().is_some() => Err(WireError::Framing),
            (None, None) => Ok(Self::Unframed),
            (Some(size), None) if size.bytes().all(|byte| byte.is_ascii_digit()) => {
                let size = size.parse().map_err(|_| WireError::Framing)?;
                Ok(Self::Sized(size))
            }
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Self::Chunked),
            _ => Err(WireError::Framing),
        }
    }
}
