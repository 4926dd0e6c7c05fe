use derive_more::{Display, Error};

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatError {
    /// The object has another version than the write named.
    #[display("object has version {version}, not the one that the write named")]
    Conflict {
        /// The version it has.
        version: u64,
    },
    /// No answer came; a write may have taken effect.
    #[display("no answer from the platform: {reason}")]
    Lost {
        /// What the client library said.
        reason: String,
    },
    /// This client's own budget of calls is spent.
    #[display("budget of platform calls is spent; it refills every second")]
    Spent,
    /// The platform refused the call, and nothing took effect.
    #[display("platform refused the call with status {status}")]
    Refused {
        /// Its HTTP status.
        status: u16,
    },
    /// The answer is not what the API promises.
    #[display("answer from the platform is not valid: {reason}")]
    Invalid {
        /// What is wrong with it.
        reason: String,
    },
}
