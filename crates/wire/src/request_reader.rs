use crate::{
    Limits, Request, WireError,
    body::{BodyReader, Framing},
    head,
};

/// Parses the requests of one connection incrementally.
#[derive(Debug)]
pub struct RequestReader {
    /// Received bytes that aren't decoded yet.
    buf: Vec<u8>,
    /// The request whose body is incomplete.
    partial: Option<(Request, BodyReader)>,
    /// The limits on the request that has begun to arrive; `None` if none has.
    begun: Option<Limits>,
    /// The limits on requests that begin to arrive from now on.
    limits: Limits,
    /// Whether the sender of the partial request expects `100 Continue`.
    continue_due: bool,
}

impl RequestReader {
    /// Creates a reader for a new connection.
    pub fn new(limits: Limits) -> Self {
        Self {
            buf: Vec::new(),
            partial: None,
            begun: None,
            limits,
            continue_due: false,
        }
    }

    /// Sets the limits on requests of which nothing has been read yet.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether bytes have been received that belong to no request returned so far.
    pub fn has_pending(&self) -> bool {
        self.partial.is_some() || !self.buf.is_empty()
    }

    /// How many bytes of a request that is still incomplete are held.
    pub fn held(&self) -> usize {
        let body = self.partial.as_ref().map_or(0, |(_, body)| body.len());
        self.buf.len() + body
    }

    /// Whether the head of the request that is still incomplete has arrived.
    pub fn has_head(&self) -> bool {
        self.partial.is_some()
    }

    /// The length of the body of the request that is still incomplete; `None` if there is no such
    /// request, or if the length isn't known yet.
    pub fn body_length(&self) -> Option<usize> {
        let (_, body) = self.partial.as_ref()?;
        match body.framing() {
            Framing::Sized(size) => Some(size),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Whether `100 Continue` is to be sent now. Clears the flag.
    pub fn take_continue_due(&mut self) -> bool {
        std::mem::take(&mut self.continue_due)
    }

    /// Returns the next request, or `None` if it is still incomplete.
    ///
    /// # Errors
    /// Fails with any [`WireError`] but `Truncated`. The reader must not be used afterwards.
    pub fn next_request(&mut self) -> Result<Option<Request>, WireError> {
        if !self.has_pending() {
            return Ok(None);
        }
        let limits = *self.begun.get_or_insert(self.limits);
        if self.partial.is_none() {
            let Some((request, framing)) = head::take_request(&mut self.buf, limits)? else {
                return Ok(None);
            };
            let body = BodyReader::new(framing, limits.body_bytes)?;
            self.continue_due =
                framing != Framing::Sized(0) && request.headers.has_token("expect", "100-continue");
            self.partial = Some((request, body));
        }
        let Some((mut request, mut body)) = self.partial.take() else {
            return Ok(None);
        };
        if body.feed(&mut self.buf)? {
            self.begun = None;
            self.continue_due = false;
            request.body = body.into_data();
            return Ok(Some(request));
        }
        self.partial = Some((request, body));
        Ok(None)
    }
}
