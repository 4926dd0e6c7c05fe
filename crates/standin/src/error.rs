use {
    derive_more::{Display, Error, From},
    std::io,
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
    Late(#[error(not(source))] String),
    /// A process could not be signalled.
    #[display("can't signal a process: {_0}")]
    #[from]
    Signal(nix::Error),
}
