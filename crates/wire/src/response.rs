use {
    crate::{Headers, request::put_line},
    std::io::Write,
};

/// One whole response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The body, without its transfer coding.
    pub body: Vec<u8>,
    /// The header lines as they arrived.
    pub headers: Headers,
    /// Whether the connection ends after this message.
    pub closes_connection: bool,
    /// The status code.
    pub status: u16,
}

impl Response {
    /// A response without headers or body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// Writes the response with a length for its body; `head` leaves the body out.
    pub fn encode(&self, out: &mut Vec<u8>, head: bool) {
        // Writing to a vector never fails.
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
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
        if !head {
            out.extend_from_slice(&self.body);
        }
    }
}

const fn reason(status: u16) -> &'static str {
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
