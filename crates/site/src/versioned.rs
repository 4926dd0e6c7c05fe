use {
    crate::Rev,
    serde::{Deserialize, Serialize},
};

/// A value with the revision of the store that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision of its last change.
    pub rev: Rev,
    /// The value.
    pub value: T,
}
