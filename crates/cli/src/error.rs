use {
    conf::Problems,
    derive_more::{Display, Error, From},
    platform::DecodeError,
    std::io,
};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CliError {
    /// Somebody else changed the same thing.
    #[display("conflict: {_0}")]
    #[from(skip)]
    Conflict(#[error(not(source))] String),
    /// An answer is not in the platform's format.
    #[display("can't read the answer: {_0}")]
    Decode(DecodeError),
    /// Output or input is not JSON.
    #[display("not valid JSON: {_0}")]
    Json(serde_json::Error),
    /// Files are wrong.
    #[display("files are not valid; correct them and check again\n{_0}")]
    Problems(Problems),
    /// Something was refused or is unhealthy.
    #[display("{_0}")]
    #[from(skip)]
    Refused(#[error(not(source))] String),
    /// A change may or may not have been made.
    #[display("outcome unknown: {_0}; look with 'anvilferry status' before you try again")]
    #[from(skip)]
    Unknown(#[error(not(source))] String),
    /// An address can't be reached.
    #[display("can't reach {address}: {error}; check the address and try again")]
    #[from(skip)]
    Unreachable {
        /// The address.
        address: String,
        /// What the system said.
        #[error(source)]
        error: io::Error,
    },
    /// A file can't be read.
    #[display("can't read {file}: {error}; name files that can be read")]
    #[from(skip)]
    Unreadable {
        /// What the system said.
        #[error(source)]
        error: io::Error,
        /// The file.
        file: String,
    },
}

impl CliError {
    /// The exit status.
    pub(crate) const fn status(&self) -> u8 {
        match self {
            Self::Conflict(_) => 3,
            Self::Unknown(_) => 4,
            _ => 1,
        }
    }
}
