use {
    crate::KeyDigest,
    serde::{Deserialize, Serialize},
    unit::{Name, Rate},
};

/// A client account: whose requests they are, by the API keys that callers send with them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The requests beyond its rate that it may send at once.
    pub burst: u32,
    /// The digests of its keys. No other account of the configuration has one of them.
    pub keys: Vec<KeyDigest>,
    /// The account's name, which workers are told; never empty.
    pub name: Name,
    /// The priority of its requests, which goes before that of their routes; 0 is the highest.
    pub priority: Option<u32>,
    /// The requests per second that all daemons together take from it; `None` for no limit.
    pub rate: Option<Rate>,
}
