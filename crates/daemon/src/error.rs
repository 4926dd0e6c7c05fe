use {
    conf::Problems,
    derive_more::{Display, Error, From},
    peer::PeerError,
    std::io,
};

/// Why the daemon can't start.
#[derive(Debug, Display, Error, From)]
pub(crate) enum DaemonError {
    /// A listener or thread can't be had.
    #[display("can't start: {_0}; check the addresses in [listen]")]
    Io(io::Error),
    /// The logger can't be set.
    #[display("can't start the log: {_0}")]
    Log(log::SetLoggerError),
    /// A metric can't be registered.
    #[display("can't register metrics: {_0}")]
    Metrics(prometheus::Error),
    /// Keys or the peers' listener.
    #[display("{_0}")]
    Peer(PeerError),
    /// The settings are wrong.
    #[display("settings are not valid; correct them and check with --check\n{_0}")]
    Settings(Problems),
    /// The settings can't be read.
    #[display("can't read {file}: {error}; name a file that can be read")]
    #[from(skip)]
    Unreadable {
        /// What the system said.
        #[error(source)]
        error: io::Error,
        /// The file.
        file: String,
    },
}
