use {crate::Headers, std::io::Write};

/// One whole request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The body, without its transfer coding.
    pub body: Vec<u8>,
    /// The header lines as they arrived.
    pub headers: Headers,
    /// The method, as written.
    pub method: String,
    /// The request target, as written: a path with its query.
    pub target: String,
    /// Whether the message is of HTTP/1.0.
    pub is_http10: bool,
}

impl Request {
    /// A request without headers or body.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            ..Self::default()
        }
    }

    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a query parameter, as written.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Whether the connection ends after the answer.
    pub fn closes_connection(&self) -> bool {
        self.headers.has_close()
            || (self.is_http10 && !self.headers.has_token("connection", "keep-alive"))
    }

    /// Writes the request with a length for its body; of the headers, those that may be forwarded.
    pub fn encode(&self, out: &mut Vec<u8>) {
        self.encode_with(&self.body, out);
    }

    /// Writes the request with another body than its own, which is left untouched.
    pub fn encode_with(&self, body: &[u8], out: &mut Vec<u8>) {
        // Writing to a vector never fails.
        let _ = write!(out, "{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in self.headers.end_to_end() {
            put_line(out, name, value);
        }
        let bare = matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        if !body.is_empty() || !bare {
            put_line(out, "Content-Length", body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
    }
}

pub(crate) fn put_line(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
