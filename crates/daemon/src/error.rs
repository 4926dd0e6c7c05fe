use {
    derive_more::{Display, Error, From},
    platform::DecodeError,
    std::{io, path::PathBuf},
};

/// Why the daemon could not start or go on.
#[derive(Debug, Display, Error, From)]
pub(crate) enum DaemonError {
    /// The readiness calls of the system failed.
    #[display("can't wait for sockets: {_0}")]
    #[from]
    Io(io::Error),
    /// An address could not be listened on.
    #[display("can't listen on {address}: {source}; is another daemon running here?")]
    Listen {
        /// The address.
        address: String,
        /// Why.
        source: io::Error,
    },
    /// The settings file could not be read.
    #[display("can't read settings {}: {source}", path.display())]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The settings file is wrong.
    #[display("settings {} are wrong: {source}", path.display())]
    InvalidSettings {
        /// The file.
        path: PathBuf,
        /// Why.
        source: DecodeError,
    },
}
