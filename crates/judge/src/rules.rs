//! The promises, each with the rule that judges it.

pub(crate) mod answers;
pub(crate) mod cold_start;
pub(crate) mod drain;
pub(crate) mod evacuation;
pub(crate) mod memory;
pub(crate) mod quota;
pub(crate) mod retries;
pub(crate) mod runs;
pub(crate) mod timeout;
