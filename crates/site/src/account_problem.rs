use {
    serde::{Deserialize, Serialize},
    unit::Name,
};

/// Why an account, or one of its keys, is not in force as it is configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountProblem {
    /// The account's name; its place in the list if the name can't be read.
    pub account: Name,
    /// The reason, which contains no key.
    pub reason: Name,
}
