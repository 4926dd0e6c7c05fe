//! The errors of the daemon's process.

use {
    derive_more::{Display, Error, From},
    platform::DecodeError,
    std::{io, path::PathBuf},
};

/// An error that keeps the daemon from starting or running, or from reloading its settings.
#[derive(Debug, Display, Error, From)]
pub(crate) enum DaemonError {
    /// The system refused to poll sockets or to register signal handlers.
    #[display("can't poll sockets or handle signals: {_0}")]
    #[from]
    Io(io::Error),
    /// A socket could not be bound to an address or registered for polling.
    #[display("can't listen on {address}: {source}; is another daemon running here?")]
    Listen {
        /// The address.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// The settings file could not be read.
    #[display(
        "can't read settings file {}: {source}; check that it exists and is readable",
        path.display()
    )]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The settings file is invalid.
    #[display("settings file {} is invalid: {source}; correct it and try again", path.display())]
    InvalidSettings {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: DecodeError,
    },
}
