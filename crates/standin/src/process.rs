//! A child process that is killed when its handle is dropped.

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

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process; dropping it kills the process and waits for it to end.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with an environment variable set and its output appended to a file.
    ///
    /// # Errors
    /// Fails if the program can't be started or the file can't be opened.
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
            .map_err(|source| spawn_error(program, source))?;
        Ok(Self { child })
    }

    /// Starts a program with an environment variable set and its standard output going to a pipe
    /// that is never read, which fills up.
    ///
    /// # Errors
    /// Fails if the program can't be started.
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
            .map_err(|source| spawn_error(program, source))?;
        Ok(Self { child })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// Fails if the process no longer exists.
    pub fn signal(&self, signal: Signal) -> Result<(), StandinError> {
        let id = i32::try_from(self.child.id()).map_err(|_| nix::Error::ESRCH)?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// The most memory that the process has had resident, in bytes.
    ///
    /// # Errors
    /// Fails if the process no longer exists, or on systems without `/proc`.
    pub fn peak_memory(&self) -> Result<u64, StandinError> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let peak = status.lines().find_map(|line| {
            let value = line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")?;
            value.parse::<u64>().ok()
        });
        let peak = peak.ok_or_else(|| io::Error::other("the status has no peak memory"))?;
        Ok(peak * 1_024)
    }

    /// Waits at most `timeout` for the process to exit; returns `None` if it still runs then.
    ///
    /// # Errors
    /// Fails if the operating system can't report the process's status.
    pub fn wait(&mut self, timeout: Duration) -> Result<Option<ExitStatus>, StandinError> {
        let end = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= end {
                return Ok(None);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already exited; waiting reaps it in either case.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn_error(program: &Path, source: io::Error) -> StandinError {
    let path = program.to_owned();
    StandinError::Spawn { path, source }
}
