use {
    crate::{Headers, Limits, Request, Response, WireError, body::Body},
    std::{
        io::{ErrorKind, Read, Write},
        net::TcpStream,
        time::{Duration, Instant},
    },
};

const CHUNK: usize = 16 << 10;
const LINE: usize = 64;

/// A connection that carries whole messages one after another.
#[derive(Debug)]
pub struct Conn {
    limits: Limits,
    /// Bytes that have arrived and belong to messages not yet taken.
    rest: Vec<u8>,
    sock: TcpStream,
}

impl Conn {
    /// Wraps a connected socket.
    ///
    /// # Errors
    /// Fails where the socket refuses its options.
    pub fn new(sock: TcpStream, limits: Limits) -> Result<Self, WireError> {
        sock.set_nodelay(true)?;
        sock.set_write_timeout(Some(limits.body_time))?;
        Ok(Self {
            limits,
            rest: Vec::new(),
            sock,
        })
    }

    /// The socket below, for polling and shutdown.
    pub fn sock(&self) -> &TcpStream {
        &self.sock
    }

    /// Whether bytes have arrived that belong to no message taken so far.
    pub fn ahead(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Waits for the next request and reads it whole.
    ///
    /// # Errors
    /// Any of [`WireError`]; the connection can't be used afterwards.
    pub fn read_request(&mut self) -> Result<Request, WireError> {
        if self.rest.is_empty() {
            let idle = Instant::now() + self.limits.idle;
            self.fill(idle).map_err(|error| match error {
                WireError::Short | WireError::Timeout => WireError::Closed,
                other => other,
            })?;
        }
        let end = Instant::now() + self.limits.head_time;
        let mut request = self.request_head(end)?;
        let body = Body::of(&request.headers)?;
        let end = Instant::now() + self.limits.body_time;
        if body != Body::Unframed {
            if request
                .headers
                .get("expect")
                .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
            {
                self.sock.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
            }
            request.body = self.body(body, self.limits.body, end)?;
        }
        Ok(request)
    }

    /// Reads one whole answer of at most `most` body bytes.
    ///
    /// # Errors
    /// Any of [`WireError`]; the connection can't be used afterwards.
    pub fn read_response(
        &mut self,
        most: usize,
        head: bool,
        end: Instant,
    ) -> Result<Response, WireError> {
        let mut response = self.response_head(end)?;
        while response.status / 100 == 1 {
            response = self.response_head(end)?;
        }
        let body = Body::of(&response.headers)?;
        let bare = head || matches!(response.status, 204 | 304);
        response.last |= response
            .headers
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        match body {
            _ if bare => {}
            // An answer without framing can't be told from a truncated one.
            Body::Unframed => return Err(WireError::Framing),
            framed => response.body = self.body(framed, most, end)?,
        }
        Ok(response)
    }

    /// Writes a request with its framing.
    ///
    /// # Errors
    /// Fails where the socket does.
    pub fn write_request(&mut self, request: &Request) -> Result<(), WireError> {
        let mut out = Vec::with_capacity(256 + request.body.len());
        write!(out, "{} {} HTTP/1.1\r\n", request.method, request.target)?;
        lines(&mut out, &request.headers)?;
        if !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD") {
            write!(out, "Content-Length: {}\r\n", request.body.len())?;
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&request.body);
        self.sock.write_all(&out)?;
        Ok(())
    }

    /// Writes an answer with its framing; `head` leaves the body out.
    ///
    /// # Errors
    /// Fails where the socket does.
    pub fn write_response(&mut self, response: &Response, head: bool) -> Result<(), WireError> {
        let mut out = Vec::with_capacity(256 + response.body.len());
        write!(out, "HTTP/1.1 {} -\r\n", response.status)?;
        lines(&mut out, &response.headers)?;
        if response.status != 204 {
            write!(out, "Content-Length: {}\r\n", response.body.len())?;
        }
        if response.last {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        if !head {
            out.extend_from_slice(&response.body);
        }
        self.sock.write_all(&out)?;
        Ok(())
    }

    fn request_head(&mut self, end: Instant) -> Result<Request, WireError> {
        loop {
            let mut lines = [httparse::EMPTY_HEADER; 96];
            let room = self.limits.headers.min(lines.len());
            let mut head = httparse::Request::new(&mut lines[..room]);
            match head.parse(&self.rest) {
                Ok(httparse::Status::Complete(size)) if size > self.limits.head => {
                    return Err(WireError::HeadLimit);
                }
                Ok(httparse::Status::Complete(size)) => {
                    if head.version != Some(1) {
                        return Err(WireError::Malformed(httparse::Error::Version));
                    }
                    let request = Request {
                        body: Vec::new(),
                        headers: Headers::from_raw(head.headers),
                        method: head.method.unwrap_or_default().to_owned(),
                        target: head.path.unwrap_or_default().to_owned(),
                    };
                    self.rest.drain(..size);
                    return Ok(request);
                }
                Ok(httparse::Status::Partial) => self.more_head(end)?,
                Err(httparse::Error::TooManyHeaders) => return Err(WireError::HeadLimit),
                Err(error) => return Err(WireError::Malformed(error)),
            }
        }
    }

    fn response_head(&mut self, end: Instant) -> Result<Response, WireError> {
        loop {
            let mut lines = [httparse::EMPTY_HEADER; 96];
            let mut head = httparse::Response::new(&mut lines);
            match head.parse(&self.rest) {
                Ok(httparse::Status::Complete(size)) => {
                    let response = Response {
                        body: Vec::new(),
                        headers: Headers::from_raw(head.headers),
                        last: head.version != Some(1),
                        status: head.code.unwrap_or_default(),
                    };
                    self.rest.drain(..size);
                    return Ok(response);
                }
                Ok(httparse::Status::Partial) => self.more_head(end)?,
                Err(httparse::Error::TooManyHeaders) => return Err(WireError::HeadLimit),
                Err(error) => return Err(WireError::Malformed(error)),
            }
        }
    }

    fn more_head(&mut self, end: Instant) -> Result<(), WireError> {
        if self.rest.len() >= self.limits.head {
            return Err(WireError::HeadLimit);
        }
        self.fill(end)
    }

    fn body(&mut self, body: Body, most: usize, end: Instant) -> Result<Vec<u8>, WireError> {
        match body {
            Body::Chunked => self.chunks(most, end),
            Body::Sized(size) if size > most => Err(WireError::BodyLimit),
            Body::Sized(size) => self.take(size, end),
            Body::Unframed => Ok(Vec::new()),
        }
    }

    fn chunks(&mut self, most: usize, end: Instant) -> Result<Vec<u8>, WireError> {
        let mut whole = Vec::new();
        loop {
            let size = self.chunk_size(end)?;
            if size > (most - whole.len()) as u64 {
                return Err(WireError::BodyLimit);
            }
            let size = usize::try_from(size).map_err(|_| WireError::BodyLimit)?;
            whole.extend(self.take(size, end)?);
            if self.take(2, end)? != b"\r\n" {
                return Err(WireError::Framing);
            }
            if size == 0 {
                return Ok(whole);
            }
        }
    }

    fn chunk_size(&mut self, end: Instant) -> Result<u64, WireError> {
        loop {
            match httparse::parse_chunk_size(&self.rest) {
                Ok(httparse::Status::Complete((used, size))) => {
                    self.rest.drain(..used);
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) if self.rest.len() < LINE => self.fill(end)?,
                _ => return Err(WireError::Framing),
            }
        }
    }

    fn take(&mut self, size: usize, end: Instant) -> Result<Vec<u8>, WireError> {
        while self.rest.len() < size {
            self.fill(end)?;
        }
        let after = self.rest.split_off(size);
        Ok(std::mem::replace(&mut self.rest, after))
    }

    /// Waits until `end` for at least one more byte.
    fn fill(&mut self, end: Instant) -> Result<(), WireError> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(WireError::Timeout);
        }
        self.sock
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut chunk = [0; CHUNK];
        match self.sock.read(&mut chunk) {
            Ok(0) => Err(WireError::Short),
            Ok(size) => {
                self.rest.extend_from_slice(&chunk[..size]);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(()),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(WireError::Timeout)
            }
            Err(error) => Err(error.into()),
        }
    }
}

fn lines(out: &mut Vec<u8>, headers: &Headers) -> Result<(), WireError> {
    let framing = [
        "content-length",
        "transfer-encoding",
        "connection",
        "expect",
    ];
    for (name, value) in headers.iter() {
        if !framing.iter().any(|own| name.eq_ignore_ascii_case(own)) {
            write!(out, "{name}: {value}\r\n")?;
        }
    }
    Ok(())
}
