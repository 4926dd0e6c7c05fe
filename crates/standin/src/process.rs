//! A process that was started here and is ended here.

use {
    crate::error::StandinError,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs::File,
        io,
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

const LOOK: Duration = Duration::from_millis(10);

/// A running process; it is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with a variable, its output going to a file.
    ///
    /// # Errors
    /// Fails where the program or the file can't be opened.
    pub fn start(
        program: &Path,
        variable: (&str, &Path),
        log: &Path,
    ) -> Result<Self, StandinError> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .env(variable.0, variable.1)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|source| unstarted(program, source))?;
        Ok(Self { child })
    }

    /// Starts a program with a variable, whose output nobody reads.
    ///
    /// # Errors
    /// Fails where the program can't be started.
    pub fn start_with_unread_output(
        program: &Path,
        variable: (&str, &Path),
    ) -> Result<Self, StandinError> {
        let child = Command::new(program)
            .env(variable.0, variable.1)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|source| unstarted(program, source))?;
        Ok(Self { child })
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// Fails where the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<(), StandinError> {
        let id = i32::try_from(self.child.id()).map_err(|_| nix::Error::ESRCH)?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// Waits until it ends; `None` where it doesn't in time.
    ///
    /// # Errors
    /// Fails where the system can't tell.
    pub fn wait(&mut self, span: Duration) -> Result<Option<ExitStatus>, StandinError> {
        let end = Instant::now() + span;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= end {
                return Ok(None);
            }
            std::thread::sleep(LOOK);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that is gone can't be killed; either way it is waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn unstarted(program: &Path, source: io::Error) -> StandinError {
    let path = program.to_owned();
    StandinError::Spawn { path, source }
}
