use derive_more::{Display, Error};

/// Why a request isn't admitted for its key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The request carries none.
    #[display("the request carries no key")]
    Absent,
    /// What the request carries is not a key.
    #[display("the request's key is malformed")]
    Malformed,
    /// The request carries several.
    #[display("the request carries more than one key")]
    Repeated,
    /// The key belongs to no account.
    #[display("the request's key is not known")]
    Unknown,
}

impl KeyError {
    /// The name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Absent => "absent",
            Self::Malformed => "malformed",
            Self::Repeated => "repeated",
            Self::Unknown => "unknown",
        }
    }
}
