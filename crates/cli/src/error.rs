use {
    conf::Problems,
    derive_more::{Display, Error, From},
    platform::DecodeError,
    std::io,
};

/// Why a subcommand failed.
///
/// `status` also prints the texts of `Failed` and `Unreachable` to standard output, in place of the
/// stage of a daemon that can't be asked.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CliError {
    /// Another operator changed the same object in the meantime.
    #[display("conflict: {_0}")]
    #[from(skip)]
    Conflict(#[error(not(source))] String),
    /// A response is not in the platform's format.
    #[display("can't decode the response: {_0}; check that the address is the right one")]
    Decode(DecodeError),
    /// The subcommand can't do its work, was refused, or found daemons without the published
    /// version.
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] String),
    /// Output or input is not JSON.
    #[display("not valid JSON: {_0}")]
    Json(serde_json::Error),
    /// No route has this host and path.
    #[display("no route for {host}{path}; check the host and the path")]
    #[from(skip)]
    NoRoute {
        /// The host.
        host: String,
        /// The path.
        path: String,
    },
    /// Files of the site are not valid.
    #[display("files are not valid; correct them and check again\n{_0}")]
    Problems(Problems),
    /// A change may have been made, or may still be made later.
    #[display("outcome unknown: {_0}; check with 'anvilferry status' before you try again")]
    #[from(skip)]
    UnknownOutcome(#[error(not(source))] String),
    /// An exchange with an address failed.
    #[display("can't reach {address}: {error}; check the address and try again")]
    #[from(skip)]
    Unreachable {
        /// The address.
        address: String,
        /// The error of the connection.
        #[error(source)]
        error: io::Error,
    },
    /// A file can't be read.
    #[display("can't read {file}: {error}; check its path and permissions")]
    #[from(skip)]
    UnreadableFile {
        /// The error of the file system.
        #[error(source)]
        error: io::Error,
        /// The path of the file.
        file: String,
    },
}

impl CliError {
    /// The exit status of the process, as the help lists them.
    pub(crate) const fn exit_status(&self) -> u8 {
        match self {
            Self::Conflict(_) => 3,
            Self::NoRoute { .. } => 2,
            Self::UnknownOutcome(_) => 4,
            _ => 1,
        }
    }
}
