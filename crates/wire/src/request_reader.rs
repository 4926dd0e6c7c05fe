use crate::{
    Headers, Limits, Request, WireError,
    body::{BodyReader, Framing},
    limits::MAX_LINES,
};

/// Reads the requests of one connection, one after another, from the bytes that arrive.
#[derive(Debug)]
pub struct RequestReader {
    buf: Vec<u8>,
    /// The request whose body is still arriving.
    open: Option<(Request, BodyReader)>,
    limits: Limits,
    /// Whether the sender of the open request waits for `100 Continue`.
    waits: bool,
}

impl RequestReader {
    /// A reader for a new connection.
    pub fn new(limits: Limits) -> Self {
        Self {
            buf: Vec::new(),
            open: None,
            limits,
            waits: false,
        }
    }

    /// Takes bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether a request has begun to arrive and isn't whole.
    pub fn has_pending(&self) -> bool {
        self.open.is_some() || !self.buf.is_empty()
    }

    /// Whether `100 Continue` is due; asking clears it.
    pub fn take_continue_due(&mut self) -> bool {
        std::mem::take(&mut self.waits)
    }

    /// The next whole request, where one has arrived.
    ///
    /// # Errors
    /// Any of [`WireError`]; the connection can't be read on afterwards.
    pub fn next_request(&mut self) -> Result<Option<Request>, WireError> {
        if self.open.is_none() {
            let Some(request) = self.head()? else {
                return Ok(None);
            };
            let framing = framing(&request)?;
            let body = BodyReader::new(framing, self.limits.body_bytes)?;
            self.waits =
                framing != Framing::Sized(0) && request.headers.has_token("expect", "100-continue");
            self.open = Some((request, body));
        }
        let Some((mut request, mut body)) = self.open.take() else {
            return Ok(None);
        };
        if body.feed(&mut self.buf)? {
            self.waits = false;
            request.body = body.into_data();
            return Ok(Some(request));
        }
        self.open = Some((request, body));
        Ok(None)
    }

    fn head(&mut self) -> Result<Option<Request>, WireError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_LINES];
        let mut head = httparse::Request::new(&mut lines);
        let size = match head.parse(&self.buf) {
            Ok(httparse::Status::Complete(size)) if size <= self.limits.head_bytes => size,
            Ok(httparse::Status::Partial) if self.buf.len() <= self.limits.head_bytes => {
                return Ok(None);
            }
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(WireError::HeadLimit),
            Err(_) => return Err(WireError::Malformed),
        };
        let request = Request {
            body: Vec::new(),
            headers: Headers::from_raw(head.headers),
            method: head.method.unwrap_or_default().to_owned(),
            target: head.path.unwrap_or_default().to_owned(),
            is_http10: head.version != Some(1),
        };
        self.buf.drain(..size);
        Ok(Some(request))
    }
}

fn framing(request: &Request) -> Result<Framing, WireError> {
    let length = request.headers.length()?;
    match (request.headers.chunked()?, length) {
        (true, Some(_)) => Err(WireError::Framing),
        (true, None) if request.is_http10 => Err(WireError::Framing),
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Sized(length.unwrap_or_default())),
    }
}
