//! Parsing of the heads of messages, and the rules that a sound head, trailer and chunk line keeps.
//! What breaks them is no message: guessing its meaning could pass on another body than the sender's.

use crate::{Headers, Limits, Request, Response, WireError, body::Framing, limits::MAX_HEADERS};

/// The status with which a server leaves HTTP, which no request of this project asks for.
const SWITCHING_PROTOCOLS: u16 = 101;
/// The statuses of final responses.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
/// The statuses of interim responses.
const INTERIM_STATUSES: std::ops::RangeInclusive<u16> = 100..=199;

/// The head of a response.
pub(crate) enum ResponseHead {
    /// A response with this head is final; its body follows.
    Final(Response, Framing),
    /// An interim response, which has no body.
    Interim,
}

/// Removes a request's head from the front of `buf`, or returns `None` if it is incomplete.
pub(crate) fn take_request(
    buf: &mut Vec<u8>,
    limits: Limits,
) -> Result<Option<(Request, Framing)>, WireError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Some(size) = head_size(head.parse(buf), buf.len(), limits)? else {
        return Ok(None);
    };
    let request = Request {
        body: Vec::new(),
        headers: Headers::from_raw(head.headers),
        method: head.method.unwrap_or_default().to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        is_http10: head.version != Some(1),
    };
    buf.drain(..size);
    let framing = request_framing(&request)?;
    Ok(Some((request, framing)))
}

/// Removes a response's head from the front of `buf`, or returns `None` if it is incomplete.
/// `to_head` says that the request's method was HEAD.
pub(crate) fn take_response(
    buf: &mut Vec<u8>,
    limits: Limits,
    to_head: bool,
) -> Result<Option<ResponseHead>, WireError> {
    // The parser skips empty lines, which only a request may follow.
    if matches!(buf.first(), Some(b'\r' | b'\n')) {
        return Err(WireError::Malformed);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Some(size) = head_size(head.parse(buf), buf.len(), limits)? else {
        return Ok(None);
    };
    let is_http10 = head.version != Some(1);
    let headers = Headers::from_raw(head.headers);
    let response = Response {
        body: Vec::new(),
        closes_connection: headers.has_close()
            || (is_http10 && !headers.has_token("connection", "keep-alive")),
        headers,
        status: head.code.unwrap_or_default(),
    };
    buf.drain(..size);
    if INTERIM_STATUSES.contains(&response.status) {
        check_interim(&response, is_http10)?;
        return Ok(Some(ResponseHead::Interim));
    }
    if !FINAL_STATUSES.contains(&response.status) {
        return Err(WireError::Malformed);
    }
    let framing = response_framing(&response, is_http10, to_head)?;
    Ok(Some(ResponseHead::Final(response, framing)))
}

/// Checks a line of a trailer section, without its CRLF.
pub(crate) fn check_trailer(line: &[u8]) -> Result<(), WireError> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(colon.ok_or(WireError::Framing)?);
    if is_token(name) && is_value(value) {
        Ok(())
    } else {
        Err(WireError::Framing)
    }
}

/// The size in a chunk-size line, without its CRLF. Extensions are ignored.
pub(crate) fn chunk_size(line: &[u8]) -> Result<usize, WireError> {
    let extension = line.iter().position(|byte| *byte == b';');
    let (digits, extension) = match extension {
        Some(at) => (line[..at].trim_ascii_end(), &line[at..]),
        None => (line, &[][..]),
    };
    let hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !hex || !is_value(extension) {
        return Err(WireError::Framing);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| WireError::Framing)?;
    usize::from_str_radix(digits, 16).map_err(|_| WireError::BodyLimit)
}

/// Whether a text can be sent as a header's value: visible ASCII characters and blanks between them.
pub fn is_header_value(text: &str) -> bool {
    let visible = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
    !text.is_empty() && text.trim() == text && text.bytes().all(visible)
}

/// The length of a head; `None` if it is incomplete.
fn head_size(
    parsed: httparse::Result<usize>,
    received: usize,
    limits: Limits,
) -> Result<Option<usize>, WireError> {
    match parsed {
        Ok(httparse::Status::Complete(size)) if size <= limits.head_bytes => Ok(Some(size)),
        Ok(httparse::Status::Partial) if received <= limits.head_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(WireError::HeadLimit),
        Err(_) => Err(WireError::Malformed),
    }
}

/// Determines how a request's body ends. Rejects framing headers of which two parsers could
/// understand different things, since that allows request smuggling.
fn request_framing(request: &Request) -> Result<Framing, WireError> {
    let length = request.headers.content_length()?;
    match (request.headers.is_chunked()?, length) {
        (true, Some(_)) => Err(WireError::Framing),
        (true, None) if request.is_http10 => Err(WireError::Framing),
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Sized(length.unwrap_or_default())),
    }
}

/// Determines how a response's body ends.
fn response_framing(
    response: &Response,
    is_http10: bool,
    to_head: bool,
) -> Result<Framing, WireError> {
    if to_head || matches!(response.status, 204 | 304) {
        return Ok(Framing::Sized(0));
    }
    let length = response.headers.content_length()?;
    match (response.headers.is_chunked()?, length) {
        (true, Some(_)) => Err(WireError::Framing),
        (true, None) if is_http10 => Err(WireError::Framing),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(size)) => Ok(Framing::Sized(size)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

/// Checks that an interim response leaves no doubt where the next response begins.
fn check_interim(response: &Response, is_http10: bool) -> Result<(), WireError> {
    if is_http10 || response.status == SWITCHING_PROTOCOLS {
        return Err(WireError::Malformed);
    }
    let headers = &response.headers;
    if headers.count("content-length") > 0 || headers.count("transfer-encoding") > 0 {
        return Err(WireError::Framing);
    }
    Ok(())
}

/// Whether bytes are a token, as the names of headers are.
fn is_token(bytes: &[u8]) -> bool {
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !bytes.is_empty() && bytes.iter().all(allowed)
}

/// Whether bytes hold no control character but tabs.
fn is_value(bytes: &[u8]) -> bool {
    bytes
        .iter()
        .all(|byte| *byte == b'\t' || !byte.is_ascii_control())
}
