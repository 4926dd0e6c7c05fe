//! What a daemon believes of each worker, and in which order it asks them for room.

mod belief;
mod choice;
mod key;
mod outcome;
mod table;
mod typical;
mod work;

pub use {
    belief::{Belief, Standing},
    choice::{Choice, Wanted},
    key::Key,
    outcome::Outcome,
    table::Table,
    typical::Typical,
    work::Work,
};
