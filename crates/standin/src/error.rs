use {
    crate::FuzzTarget,
    derive_more::{Display, Error, From},
    std::{io, path::PathBuf},
};

/// An error of a stand-in or of the fleet harness.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    /// An operation on a socket, file or process failed.
    #[display("{_0}")]
    #[from]
    Io(io::Error),
    /// Something awaited did not happen in time, or a daemon that is needed isn't running.
    #[display("{_0}")]
    #[from(skip)]
    Timeout(#[error(not(source))] String),
    /// Code under fuzzing panicked.
    #[display("{target}: case {case} panicked; its input: {input}")]
    #[from(skip)]
    Panicked {
        /// The number of the case.
        case: u64,
        /// The input, with escapes.
        input: String,
        /// The target.
        target: FuzzTarget,
    },
    /// A program could not be started.
    #[display("can't start {}: {source}; build it first, or name another with --program", path.display())]
    #[from(skip)]
    Spawn {
        /// The path of the program.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A process could not be signalled.
    #[display("can't signal a process: {_0}")]
    #[from]
    Signal(nix::Error),
}
