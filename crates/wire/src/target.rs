use {
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode},
    std::borrow::Cow,
};

/// What is percent-encoded in a text that becomes a part of a request target: all but the
/// characters that RFC 3986 calls unreserved.
const RESERVED: AsciiSet = NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// A request target that is built from texts of any content. Each text is percent-encoded, so that
/// it can end neither its part of the target nor the request line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    has_query: bool,
    text: String,
}

impl Target {
    /// Starts with a path, which is taken as it is.
    pub fn new(path: &str) -> Self {
        Self {
            has_query: false,
            text: path.to_owned(),
        }
    }

    /// Appends a segment to the path; not allowed after a parameter.
    #[must_use]
    pub fn segment(mut self, text: &str) -> Self {
        self.text.push('/');
        self.push_encoded(text);
        self
    }

    /// Appends a parameter to the query.
    #[must_use]
    pub fn param(mut self, name: &str, value: &str) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.push_encoded(name);
        self.text.push('=');
        self.push_encoded(value);
        self
    }

    /// The target as it stands in a request line.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    fn push_encoded(&mut self, text: &str) {
        self.text.extend(utf8_percent_encode(text, &RESERVED));
    }
}

/// Decodes a part of a request target. Bytes that aren't UTF-8 are replaced by U+FFFD.
pub fn decode_part(part: &str) -> Cow<'_, str> {
    percent_decode_str(part).decode_utf8_lossy()
}
