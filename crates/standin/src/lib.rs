//! Stand-ins of the systems that anvilferry is served by and serves, for tests, measurements and
//! the demonstration: a platform, upstreams, callers, and a fleet of real processes.

pub mod arrivals;
pub mod bench;
pub mod caller;
pub mod compare;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod mood;
pub mod moves;
pub mod platform;
pub mod process;
pub mod report;
pub mod scenario;
pub mod slopes;
pub mod soak;
pub mod upstream;
pub mod worker;

use derive_more::{Display, Error, From};

/// Why a stand-in can't go on.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    /// A call to another stand-in or to a daemon failed.
    #[display("call failed: {_0}")]
    Call(attohttpc::Error),
    /// A condition did not come about in time.
    #[display("waited in vain for {what}")]
    #[from(skip)]
    Waited {
        /// The condition.
        what: String,
    },
    /// A file, socket or process can't be had.
    #[display("{_0}")]
    Io(std::io::Error),
    /// Text that is not JSON of the expected shape.
    #[display("not the expected JSON: {_0}")]
    Json(serde_json::Error),
    /// A scenario that is not valid.
    #[display("{_0}")]
    #[from(skip)]
    Scenario(#[error(not(source))] String),
}
