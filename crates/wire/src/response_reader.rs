use crate::{
    Headers, Limits, Response, WireError,
    body::{BodyReader, Framing},
    limits::MAX_LINES,
};

/// How a connection stopped delivering bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed in order.
    Closed,
    /// The connection was reset or failed.
    Reset,
}

/// Reads the responses of one connection from the bytes that arrive.
#[derive(Debug)]
pub struct ResponseReader {
    buf: Vec<u8>,
    limits: Limits,
    open: Option<(Response, BodyReader)>,
}

impl ResponseReader {
    /// A reader for a new connection.
    pub fn new(limits: Limits) -> Self {
        Self {
            buf: Vec::new(),
            limits,
            open: None,
        }
    }

    /// Takes bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether bytes lie here that belong to no response taken so far.
    pub fn has_pending(&self) -> bool {
        self.open.is_some() || !self.buf.is_empty()
    }

    /// The next whole response, where one has arrived; `head` tells that it answers a HEAD request.
    ///
    /// # Errors
    /// Any of [`WireError`]; the connection can't be read on afterwards.
    pub fn next_response(&mut self, head: bool) -> Result<Option<Response>, WireError> {
        while self.open.is_none() {
            let Some(response) = self.head()? else {
                return Ok(None);
            };
            if response.status / 100 == 1 {
                continue;
            }
            let framing = framing(&response, head)?;
            let body = BodyReader::new(framing, self.limits.body_bytes)?;
            self.open = Some((response, body));
        }
        let Some((mut response, mut body)) = self.open.take() else {
            return Ok(None);
        };
        if body.feed(&mut self.buf)? {
            response.body = body.into_data();
            return Ok(Some(response));
        }
        self.open = Some((response, body));
        Ok(None)
    }

    /// What the end of the connection makes of the response that was arriving: whole only where it
    /// had no length and the connection closed in order.
    ///
    /// # Errors
    /// Fails where a response was cut short.
    pub fn finish(&mut self, ending: ConnectionEnd) -> Result<Option<Response>, WireError> {
        match self.open.take() {
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

    fn head(&mut self) -> Result<Option<Response>, WireError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_LINES];
        let mut head = httparse::Response::new(&mut lines);
        let size = match head.parse(&self.buf) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if self.buf.len() <= self.limits.head_bytes => {
                return Ok(None);
            }
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(WireError::HeadLimit),
            Err(_) => return Err(WireError::Malformed),
        };
        let headers = Headers::from_raw(head.headers);
        let response = Response {
            body: Vec::new(),
            closes_connection: headers.has_close()
                || (head.version != Some(1) && !headers.has_token("connection", "keep-alive")),
            headers,
            status: head.code.unwrap_or_default(),
        };
        self.buf.drain(..size);
        Ok(Some(response))
    }
}

fn framing(response: &Response, head: bool) -> Result<Framing, WireError> {
    if head || matches!(response.status, 204 | 304) {
        return Ok(Framing::Sized(0));
    }
    let length = response.headers.length()?;
    match (response.headers.chunked()?, length) {
        (true, Some(_)) => Err(WireError::Framing),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(size)) => Ok(Framing::Sized(size)),
        (false, None) => Ok(Framing::UntilClose),
    }
}
