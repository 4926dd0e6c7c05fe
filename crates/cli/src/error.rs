use {
    conf::{Conflict, Problems},
    derive_more::{Display, Error, From},
    plat::PlatError,
};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CliError {
    /// A daemon could not be asked.
    #[display("can't ask the daemon: {_0}; give its address for operators")]
    Call(attohttpc::Error),
    /// Somebody else changed the same thing.
    #[display("{_0}")]
    Conflict(Conflict),
    /// Output or input is not JSON.
    #[display("not valid JSON: {_0}")]
    Json(serde_json::Error),
    /// The platform could not be read.
    #[display("can't read the platform: {_0}; check --platform and try again")]
    Platform(PlatError),
    /// Files are wrong.
    #[display("files are not valid; correct them and check again\n{_0}")]
    Problems(Problems),
    /// Something was refused or is unhealthy.
    #[display("{_0}")]
    #[from(skip)]
    Refused(#[error(not(source))] String),
    /// The change may or may not be published.
    #[display("outcome unknown: {_0}")]
    #[from(skip)]
    Unknown(#[error(not(source))] String),
    /// A file can't be read.
    #[display("can't read {file}: {error}; name files that can be read")]
    #[from(skip)]
    Unreadable {
        /// What the system said.
        #[error(source)]
        error: std::io::Error,
        /// The file.
        file: String,
    },
}

impl CliError {
    /// The exit status.
    pub(crate) fn status(&self) -> u8 {
        match self {
            Self::Conflict(_) => 3,
            Self::Unknown(_) => 4,
            _ => 1,
        }
    }
}
