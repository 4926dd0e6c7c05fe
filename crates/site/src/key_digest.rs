use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt::{self, Debug, Formatter},
};

/// The SHA-256 digest of an API key, which stands for the key in memory and between daemons.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Whether a text can be sent as a key: it isn't empty and has no spaces or control characters.
    pub fn is_key(text: &str) -> bool {
        !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c.is_control())
    }
}

impl Debug for KeyDigest {
    /// Writes no part of the digest, so that it can't be compared with those of guessed keys.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}
