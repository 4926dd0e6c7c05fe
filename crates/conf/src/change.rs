use serde::{Deserialize, Serialize};

/// A published change, as the root's history keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When it was made, in milliseconds since the Unix epoch by the operator's clock.
    pub at: u64,
    /// Who made it.
    pub by: String,
    /// The generation that it made.
    pub generation: u64,
    /// Unique to this change; settles writes whose answers were lost.
    pub id: String,
    /// What it touched: `service NAME`, `data centre NAME` or `vm NAME`.
    pub touched: Vec<String>,
}
