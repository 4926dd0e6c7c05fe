use {
    derive_more::{Display, Error, From},
    std::{io, path::PathBuf},
};

/// Why a stand-in could not do its work.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    /// A socket, file or process failed.
    #[display("{_0}")]
    #[from]
    Io(io::Error),
    /// A process did not do in time what it should.
    #[display("{_0}")]
    #[from(skip)]
    Timeout(#[error(not(source))] String),
    /// A program could not be started.
    #[display("can't start {}: {source}; build it first, or name another with --program", path.display())]
    #[from(skip)]
    Spawn {
        /// The program.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A process could not be signalled.
    #[display("can't signal a process: {_0}")]
    #[from]
    Signal(nix::Error),
}
