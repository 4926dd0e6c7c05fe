//! A process that was started here and is ended here.

use {
    crate::StandinError,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        collections::HashMap,
        env,
        fs::{self, File},
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
};

/// A running process and the addresses that its first line named.
#[derive(Debug)]
pub struct Process {
    /// Its addresses by name.
    pub addresses: HashMap<String, SocketAddr>,
    child: Child,
}

impl Process {
    /// Starts a program that lies beside this one and waits for its line of addresses.
    ///
    /// # Errors
    /// Fails where the program can't be started or ends before that line.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Result<Self, StandinError> {
        let path = beside(program)?;
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(log)?)
            .spawn()
            .map_err(|error| std::io::Error::other(format!("{}: {error}", path.display())))?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let words = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        let addresses: HashMap<_, _> = words
            .filter_map(|(name, address)| Some((name.to_owned(), address.parse().ok()?)))
            .collect();
        if addresses.is_empty() {
            drop(child.kill());
            drop(child.wait());
            let told = fs::read_to_string(log).unwrap_or_default();
            return Err(std::io::Error::other(format!("{program} did not start: {told}")).into());
        }
        Ok(Self { addresses, child })
    }

    /// An address that its first line named.
    ///
    /// # Errors
    /// Fails where there is none of that name.
    pub fn address(&self, name: &str) -> Result<SocketAddr, StandinError> {
        self.addresses
            .get(name)
            .copied()
            .ok_or_else(|| StandinError::Waited {
                what: format!("an address called {name}"),
            })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _sent = kill(Pid::from_raw(id), signal);
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Asks it to stop and waits; `false` where it took longer than `most`.
    pub fn stop(&mut self, most: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let end = Instant::now() + most;
        while Instant::now() < end {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The path of a program beside this one, or one folder up where this is a test.
fn beside(program: &str) -> Result<PathBuf, StandinError> {
    let own = env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(program))
        .find(|path| path.exists());
    found.ok_or_else(|| {
        std::io::Error::other(format!(
            "{program} is not built; run cargo build --workspace"
        ))
        .into()
    })
}
