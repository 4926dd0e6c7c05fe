use crate::WireError;

/// The header lines of one message, in the order of arrival; values are kept byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

/// Headers that concern one connection only and are never forwarded.
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
    /// Adds a line.
    pub fn add(&mut self, name: &str, value: impl ToString) {
        self.0
            .push((name.to_owned(), value.to_string().into_bytes()));
    }

    /// Adds a line whose value is kept byte for byte.
    pub fn add_raw(&mut self, name: &str, value: &[u8]) {
        self.0.push((name.to_owned(), value.to_vec()));
    }

    /// The value of the first line called `name`, without regard to case; `None` where it isn't
    /// text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.0.iter();
        let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// The values of all lines called `name` that are text.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(key, _)| key.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// How many lines are called `name`.
    pub fn count(&self, name: &str) -> usize {
        let named = |(key, _): &&(String, Vec<u8>)| key.eq_ignore_ascii_case(name);
        self.0.iter().filter(named).count()
    }

    /// Whether a comma-separated list header holds `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the peer wants the connection closed after this message.
    pub fn has_close(&self) -> bool {
        self.has_token("connection", "close")
    }

    /// Every line as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_slice()))
    }

    /// The lines that may be forwarded: all but those that concern one connection only.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.iter().filter(|(key, _)| {
            let own = HOP_BY_HOP.iter().any(|name| key.eq_ignore_ascii_case(name));
            !own && !self.has_token("connection", key)
        })
    }

    pub(crate) fn from_raw(raw: &[httparse::Header<'_>]) -> Self {
        let line = |header: &httparse::Header<'_>| (header.name.to_owned(), header.value.to_vec());
        Self(raw.iter().map(line).collect())
    }

    /// The declared length of the body.
    ///
    /// # Errors
    /// Fails where the lines disagree or hold anything but digits.
    pub(crate) fn length(&self) -> Result<Option<usize>, WireError> {
        let mut found = None;
        if self.get_all("content-length").count() != self.count("content-length") {
            return Err(WireError::Framing);
        }
        for text in self.get_all("content-length") {
            if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(WireError::Framing);
            }
            let size = text.parse().map_err(|_| WireError::BodyLimit)?;
            if found.is_some_and(|other| other != size) {
                return Err(WireError::Framing);
            }
            found = Some(size);
        }
        Ok(found)
    }

    /// Whether the body comes in chunks.
    ///
    /// # Errors
    /// Fails on every other transfer coding.
    pub(crate) fn chunked(&self) -> Result<bool, WireError> {
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
