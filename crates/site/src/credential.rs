use {crate::KeyDigest, unit::Name};

/// What a request shows of the client account that it belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// It carries no key.
    #[default]
    Absent,
    /// It carries the key with this digest.
    Key(KeyDigest),
    /// What it carries is not a key.
    Malformed,
    /// Another daemon, which has checked the key, says that it belongs to the account of this name.
    Passed(Name),
    /// It carries more than one key, or one key repeatedly.
    Repeated,
}
