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
        let coding = match self.status {
            204 | 304 => BodyCoding::Absent,
            _ => BodyCoding::Sized(self.body.len()),
        };
        self.encode_head(out, coding);
        if !omit_body {
            out.extend_from_slice(&self.body);
        }
    }

    /// Encodes the status line and the end-to-end headers, for a body that follows in this coding.
    pub fn encode_head(&self, out: &mut Vec<u8>, coding: BodyCoding) {
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
        match coding {
            BodyCoding::Absent => {}
            BodyCoding::Chunked => put_line(out, "Transfer-Encoding", b"chunked"),
            BodyCoding::Sized(size) => {
                put_line(out, "Content-Length", size.to_string().as_bytes());
            }
        }
        if self.closes_connection {
            put_line(out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
    }
}

/// How a message marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyCoding {
    /// The message has no body.
    Absent,
    /// The chunked transfer coding, for a body whose length isn't known in advance.
    Chunked,
    /// A body of this many bytes.
    Sized(usize),
}

impl BodyCoding {
    /// Encodes the next part of a body; nothing for an empty part.
    pub fn encode_part(self, out: &mut Vec<u8>, part: &[u8]) {
        if part.is_empty() {
            return;
        }
        if self == Self::Chunked {
            // Writing to a vector never fails.
            let _ = write!(out, "{:x}\r\n", part.len());
            out.extend_from_slice(part);
            out.extend_from_slice(b"\r\n");
        } else {
            out.extend_from_slice(part);
        }
    }

    /// Encodes what follows the last part of a body.
    pub fn encode_end(self, out: &mut Vec<u8>) {
        if self == Self::Chunked {
            out.extend_from_slice(b"0\r\n\r\n");
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
