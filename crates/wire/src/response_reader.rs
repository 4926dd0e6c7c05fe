use crate::{
    Limits, Response, WireError,
    body::{BodyReader, Framing},
    head::{self, ResponseHead},
};

/// How many interim responses may precede a response.
const MAX_INTERIM: u32 = 32;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed it in an orderly way.
    Closed,
    /// It was reset or failed.
    Reset,
}

/// A response of which the head and a part of the body have arrived.
#[derive(Clone, Copy, Debug)]
pub struct PartialResponse<'a> {
    /// How many bytes of the body have arrived.
    pub arrived: usize,
    /// How many of these are not taken yet.
    pub buffered: usize,
    /// The status and headers; the body is empty.
    pub head: &'a Response,
    /// The length of the whole body in bytes; `None` if it isn't known in advance.
    pub length: Option<usize>,
}

/// Parses the responses of one connection incrementally.
#[derive(Debug)]
pub struct ResponseReader {
    /// Received bytes that aren't decoded yet.
    buf: Vec<u8>,
    /// The interim responses since the last final one.
    interim: u32,
    limits: Limits,
    /// The response whose body is incomplete.
    partial: Option<(Response, BodyReader)>,
}

impl ResponseReader {
    /// Creates a reader for a new connection.
    pub fn new(limits: Limits) -> Self {
        Self {
            buf: Vec::new(),
            interim: 0,
            limits,
            partial: None,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether bytes have been received that belong to no response returned so far.
    pub fn has_pending(&self) -> bool {
        self.partial.is_some() || !self.buf.is_empty()
    }

    /// Returns the next final response, or `None` if it is still incomplete. Up to 32 interim (1xx)
    /// responses before each are skipped. `to_head` says that the request's method was HEAD.
    ///
    /// # Errors
    /// Fails with any [`WireError`] but `Truncated`. The reader must not be used afterwards.
    pub fn next_response(&mut self, to_head: bool) -> Result<Option<Response>, WireError> {
        while self.partial.is_none() {
            match head::take_response(&mut self.buf, self.limits, to_head)? {
                None => return Ok(None),
                Some(ResponseHead::Interim) => {
                    self.interim += 1;
                    if self.interim > MAX_INTERIM {
                        return Err(WireError::HeadLimit);
                    }
                }
                Some(ResponseHead::Final(response, framing)) => {
                    self.interim = 0;
                    let body = BodyReader::new(framing, self.limits.body_bytes)?;
                    self.partial = Some((response, body));
                }
            }
        }
        let Some((mut response, mut body)) = self.partial.take() else {
            return Ok(None);
        };
        if body.feed(&mut self.buf)? {
            response.body = body.into_data();
            return Ok(Some(response));
        }
        self.partial = Some((response, body));
        Ok(None)
    }

    /// The response whose body is still incomplete, without its body; `None` before its head is
    /// complete.
    pub fn partial(&self) -> Option<PartialResponse<'_>> {
        let (head, body) = self.partial.as_ref()?;
        Some(PartialResponse {
            arrived: body.arrived(),
            buffered: body.len(),
            head,
            length: match body.framing() {
                Framing::Sized(size) => Some(size),
                Framing::Chunked | Framing::UntilClose => None,
            },
        })
    }

    /// Takes the part of an incomplete body that has arrived; [`Self::next_response`] and
    /// [`Self::finish`] then return the response with what follows it.
    pub fn take_body(&mut self) -> Vec<u8> {
        self.partial
            .as_mut()
            .map(|(_, body)| body.take())
            .unwrap_or_default()
    }

    /// Handles the end of the connection. Returns the partial response if its body is delimited by
    /// the end of the connection and the close was orderly, and `None` if nothing is pending.
    ///
    /// # Errors
    /// Fails with `Truncated` if any other response is incomplete.
    pub fn finish(&mut self, ending: ConnectionEnd) -> Result<Option<Response>, WireError> {
        match self.partial.take() {
            Some((mut response, body))
                if body.framing() == Framing::UntilClose && ending == ConnectionEnd::Closed =>
            {
                response.body = body.into_data();
                Ok(Some(response))
            }
            None if self.buf.is_empty() => Ok(None),
            _ => Err(WireError::Truncated),
        }
    }
}
