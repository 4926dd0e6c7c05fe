use derive_more::Display;

/// Identifies one process run of one worker, as numbered by this daemon. A restarted worker gets a
/// new key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u32);
