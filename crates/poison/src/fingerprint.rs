use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    unit::digest,
};

/// The hash of what stays the same when a request comes again: its host, method and path, and its
/// body. The same in every process. Callers may vary the query from one try to the next, as they
/// vary the id, and may come from another address.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn new(host: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let parts = [host, method, path].map(str::as_bytes);
        Self(digest(parts.into_iter().chain([body])))
    }
}
