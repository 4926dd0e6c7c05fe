use {crate::Spec, serde::Serialize, unit::Name};

/// A desk's state, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct DeskReport {
    /// Its limits.
    pub spec: Spec,
    /// Requests that wait.
    pub waiting: usize,
    /// Its workers.
    pub workers: Vec<WorkerReport>,
}

/// A worker's state, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerReport {
    /// Requests that it may hold from this daemon.
    pub allowed: u32,
    /// The life that was last seen.
    pub boot: Option<u64>,
    /// Requests in flight from this daemon.
    pub busy: u32,
    /// Its home.
    pub home: Option<Name>,
    /// Idle connections.
    pub idle: u32,
    /// Slots lent to other daemons.
    pub lent: u32,
    /// Its name.
    pub name: Name,
    /// Its answers' time against the usual time; 1 is usual.
    pub ratio: f64,
    /// `open`, `closed`, `cold`, `failing`, `slow` or `stalled`.
    pub state: &'static str,
}
