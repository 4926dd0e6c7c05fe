//! What callers ask and what they are answered, apart from sockets.

mod answer;
mod call;
mod target;

pub use {
    answer::{Rejection, refuse, reject, with_outcome},
    call::Call,
    target::Target,
};
