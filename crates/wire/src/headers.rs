use crate::WireError;

/// The header lines of one message, in order of arrival. Values are kept byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Headers {
    /// Appends a header line.
    pub fn add(&mut self, name: &str, value: impl ToString) {
        self.0
            .push((name.to_owned(), value.to_string().into_bytes()));
    }

    /// Appends a header line with a value that need not be UTF-8.
    pub fn add_raw(&mut self, name: &str, value: &[u8]) {
        self.0.push((name.to_owned(), value.to_vec()));
    }

    /// Removes all lines with this name, ignoring case.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(key, _)| !key.eq_ignore_ascii_case(name));
    }

    /// The trimmed value of the first line with this name, ignoring case. `None` if there is no
    /// such line or its value isn't UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.0.iter();
        let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// The trimmed value of the only line with this name, ignoring case. `None` if there is no such
    /// line or more than one, or if its value is empty or isn't UTF-8.
    pub fn only(&self, name: &str) -> Option<&str> {
        let value = self.get(name).filter(|value| !value.is_empty());
        value.filter(|_| self.count(name) == 1)
    }

    /// The trimmed values of all lines with this name, without those that aren't UTF-8.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(key, _)| key.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// The number of lines with this name, ignoring case.
    pub fn count(&self, name: &str) -> usize {
        let named = |(key, _): &&(String, Vec<u8>)| key.eq_ignore_ascii_case(name);
        self.0.iter().filter(named).count()
    }

    /// Whether a comma-separated list in the lines with this name contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the `Connection` header asks to close the connection after this message.
    pub fn has_close(&self) -> bool {
        self.has_token("connection", "close")
    }

    /// All lines as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_slice()))
    }

    /// The lines that may be forwarded: all except hop-by-hop headers and those that the
    /// `Connection` header names.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.iter().filter(|(key, _)| {
            let hop_by_hop = HOP_BY_HOP.iter().any(|name| key.eq_ignore_ascii_case(name));
            !hop_by_hop && !self.has_token("connection", key)
        })
    }

    pub(crate) fn from_raw(raw: &[httparse::Header<'_>]) -> Self {
        let line = |header: &httparse::Header<'_>| (header.name.to_owned(), header.value.to_vec());
        Self(raw.iter().map(line).collect())
    }

    /// The value of `Content-Length` in bytes, if the header is present.
    ///
    /// # Errors
    /// Fails if the lines disagree, hold anything but digits, or hold a number too large for
    /// `usize`.
    pub(crate) fn content_length(&self) -> Result<Option<usize>, WireError> {
        let mut length = None;
        if self.get_all("content-length").count() != self.count("content-length") {
            return Err(WireError::Framing);
        }
        for text in self.get_all("content-length") {
            if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(WireError::Framing);
            }
            let size = text.parse().map_err(|_| WireError::BodyLimit)?;
            if length.is_some_and(|other| other != size) {
                return Err(WireError::Framing);
            }
            length = Some(size);
        }
        Ok(length)
    }

    /// Whether the body uses the chunked transfer coding.
    ///
    /// # Errors
    /// Fails on any other transfer coding and on a repeated header.
    pub(crate) fn is_chunked(&self) -> Result<bool, WireError> {
        match self.count("transfer-encoding") {
            0 => Ok(false),
            1 if self
                .get("transfer-encoding")
                .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) =>
            {
                Ok(true)
            }
            _ => Err(WireError::Framing),
        }
    }
}
