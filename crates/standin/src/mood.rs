//! How a stand-in worker misbehaves, and what it counts.

use {
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// How a worker misbehaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Mood {
    /// It refuses new work as not run, and says that it is leaving.
    pub draining: bool,
    /// It answers every request at once with an error.
    pub failing: bool,
    /// Requests on connections that are open now are never answered.
    pub mute: bool,
    /// How much longer its work takes.
    pub slowness: f64,
    /// No work makes progress for so long from now, in milliseconds.
    pub stall_ms: u64,
}

impl Default for Mood {
    fn default() -> Self {
        Self {
            draining: false,
            failing: false,
            mute: false,
            slowness: 1.0,
            stall_ms: 0,
        }
    }
}

/// What a worker has counted, over all its lives.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Count {
    /// Requests that it gave up since the caller went away or the deadline passed.
    pub cancelled: u64,
    /// Lives it has begun.
    pub lives: u64,
    /// The most measuring requests in one second.
    pub probes_most: u64,
    /// Measuring requests.
    pub probes: u64,
    /// Requests that it began to run.
    pub ran: u64,
    /// How often each idempotency key was run.
    pub keys: HashMap<String, u64>,
    /// The latest time at which it began to run a request, in milliseconds since the Unix epoch.
    pub last_ms: u64,
    /// Times at which it held more than it bore while cold.
    pub over: u64,
    /// Requests refused as not run.
    pub shed: u64,
    /// Work that nobody waited for, in microseconds.
    pub wasted_us: u64,
}
