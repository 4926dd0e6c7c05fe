use {
    crate::{Headers, target::decode_part},
    std::{borrow::Cow, io::Write},
};

/// A complete request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The body, with the transfer coding removed.
    pub body: Vec<u8>,
    /// The header lines, in order of arrival.
    pub headers: Headers,
    /// The method, verbatim.
    pub method: String,
    /// The request target, verbatim: usually a path with an optional query.
    pub target: String,
    /// Whether the message is HTTP/1.0.
    pub is_http10: bool,
}

impl Request {
    /// Creates a request without headers or body.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            ..Self::default()
        }
    }

    /// The target without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> Option<Cow<'_, str>> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_part(value))
    }

    /// Whether the connection is to be closed after the response.
    pub fn closes_connection(&self) -> bool {
        self.headers.has_close()
            || (self.is_http10 && !self.headers.has_token("connection", "keep-alive"))
    }

    /// Encodes the request as HTTP/1.1 with its end-to-end headers. `Content-Length` is left out if
    /// the body is empty and the method usually has none.
    pub fn encode(&self, out: &mut Vec<u8>) {
        self.encode_with(&self.body, out);
    }

    /// Encodes the request like [`encode`](Self::encode), but with `body` in place of its own body.
    pub fn encode_with(&self, body: &[u8], out: &mut Vec<u8>) {
        // Writing to a vector never fails.
        let _ = write!(out, "{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in self.headers.end_to_end() {
            put_line(out, name, value);
        }
        let bodiless = matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        if !body.is_empty() || !bodiless {
            put_line(out, "Content-Length", body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
    }
}

/// Appends one header line.
pub(crate) fn put_line(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
