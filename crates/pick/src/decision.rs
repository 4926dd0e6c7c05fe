use {serde::Serialize, unit::Name};

/// Something that a desk decided, for the dump and for `explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// A request got a worker.
    Chosen {
        /// Workers that could have had it.
        free: u32,
        /// The request.
        id: u64,
        /// Workers passed over as slow, failing, cold or closed.
        passed: u32,
        /// The worker.
        worker: Name,
    },
    /// A worker is taken as newly started.
    Cold {
        /// Why.
        why: &'static str,
        /// The worker.
        worker: Name,
    },
    /// A worker is left out for failures.
    Failing(Name),
    /// This daemon became a worker's home.
    Home(Name),
    /// A request waits, with so many ahead of it.
    Queued {
        /// Requests ahead.
        ahead: u32,
        /// The request.
        id: u64,
    },
    /// A worker is left out as slow.
    Slow(Name),
    /// A worker bears its full load.
    Warm(Name),
}
