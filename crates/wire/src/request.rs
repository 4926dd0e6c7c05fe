use crate::Headers;

/// A whole request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The body's bytes.
    pub body: Vec<u8>,
    /// The header lines, without framing.
    pub headers: Headers,
    /// The method, in capitals.
    pub method: String,
    /// The path and query as sent.
    pub target: String,
}

impl Request {
    /// A request without a body.
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

    /// The value of `name` in the query, as sent.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}
