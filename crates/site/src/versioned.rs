use {
    crate::Rev,
    serde::{Deserialize, Serialize},
};

/// A value with the store revision that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision of the last change.
    pub rev: Rev,
    /// The value.
    pub value: T,
}
