use derive_more::Display;

/// One life of one worker, as this process numbers them.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u32);
