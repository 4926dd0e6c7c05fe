use serde::{Deserialize, Serialize};

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its text.
    pub value: String,
    /// Its version; the first is 1.
    pub version: u64,
}
