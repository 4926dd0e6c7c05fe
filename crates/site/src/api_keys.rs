use {
    std::fmt::{self, Debug, Formatter},
    unit::{Map, Name},
};

/// The keys of accounts in clear text, by the accounts' names. Only what writes a configuration to
/// the store or sends requests as a client needs them; daemons hold digests.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct ApiKeys(Map<Name, Vec<String>>);

impl ApiKeys {
    /// Adds the keys of an account.
    pub fn insert(&mut self, account: Name, keys: Vec<String>) {
        self.0.insert(account, keys);
    }

    /// The keys of an account.
    pub fn of(&self, account: &Name) -> &[String] {
        self.0.get(account).map(Vec::as_slice).unwrap_or_default()
    }
}

impl Debug for ApiKeys {
    /// Writes no key.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKeys")
    }
}
