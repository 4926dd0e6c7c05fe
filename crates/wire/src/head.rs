/// The header lines of one message, in the order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Adds a line.
    pub fn add(&mut self, name: &str, value: impl ToString) {
        self.0.push((name.to_owned(), value.to_string()));
    }

    /// The value of the first line called `name`, without regard to case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.0.iter();
        let line = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.as_str())
    }

    /// The values of all lines called `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Every line as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_str()))
    }

    pub(crate) fn from_raw(raw: &[httparse::Header<'_>]) -> Self {
        let line = |header: &httparse::Header<'_>| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_owned(), value)
        };
        Self(raw.iter().map(line).collect())
    }
}
