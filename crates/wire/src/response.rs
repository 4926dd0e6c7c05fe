use {
    crate::{Headers, request::put_line},
    std::io::Write,
};

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The body, with the transfer coding removed.
    pub body: Vec<u8>,
    /// The header lines, in order of arrival.
    pub headers: Headers,
    /// Whether the connection is to be closed after this message.
    pub closes_connection: bool,
    /// The status code.
    pub status: u16,
}

impl Response {
    /// Creates a response without headers or body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// Encodes the response as HTTP/1.1 with its end-to-end headers and a `Content-Length`, except
    /// for statuses without a body. `omit_body` leaves out the body, for responses to HEAD.
    pub fn encode(&self, out: &mut Vec<u8>, omit_body: bool) {
        // Writing to a vector never fails.
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        for (name, value) in self.headers.end_to_end() {
            put_line(out, name, value);
        }
        if !matches!(self.status, 204 | 304) {
            put_line(
                out,
                "Content-Length",
                self.body.len().to_string().as_bytes(),
            );
        }
        if self.closes_connection {
            put_line(out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        if !omit_body {
            out.extend_from_slice(&self.body);
        }
    }
}

/// The reason phrase of a status, or `Status` where it isn't listed here.
const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
