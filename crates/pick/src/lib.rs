//! What a daemon believes of each worker, and in which order it asks them for room.

mod belief;
mod key;
mod outcome;
mod table;
mod typical;
mod work;

pub use {
    belief::{Belief, Standing},
    key::Key,
    outcome::Outcome,
    table::{Choice, Table, Wanted},
    typical::Typical,
    work::Work,
};
