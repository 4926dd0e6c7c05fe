use crate::Headers;

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The body's bytes.
    pub body: Vec<u8>,
    /// The header lines, without framing.
    pub headers: Headers,
    /// Whether the connection closes after this answer.
    pub last: bool,
    /// The status code.
    pub status: u16,
}

impl Response {
    /// An answer with a body of the given media type.
    pub fn new(status: u16, kind: &str, body: impl Into<Vec<u8>>) -> Self {
        let mut headers = Headers::default();
        headers.add("Content-Type", kind);
        Self {
            body: body.into(),
            headers,
            last: false,
            status,
        }
    }

    /// A JSON answer.
    pub fn json(status: u16, body: impl ToString) -> Self {
        Self::new(status, "application/json", body.to_string())
    }

    /// A plain text answer.
    pub fn text(status: u16, body: impl ToString) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body.to_string())
    }

    /// Adds a header line.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.add(name, value);
        self
    }
}
