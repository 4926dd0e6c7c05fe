use {
    derive_more::{Display, Error},
    serde::Serialize,
};

/// Two operators changed the same thing.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize)]
#[display(
    "{what} was changed by {by} in generation {generation} (change {id}); look at it with `anvilferry diff`, then publish again"
)]
pub struct Conflict {
    /// Who made the earlier change.
    pub by: String,
    /// The generation of the earlier change.
    pub generation: u64,
    /// The earlier change's id.
    pub id: String,
    /// What both changed.
    pub what: String,
}
