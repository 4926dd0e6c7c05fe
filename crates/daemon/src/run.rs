//! Starting and running the daemon from its command line.

use {
    crate::{arguments::Arguments, daemon::Daemon, error::DaemonError},
    clap::Parser,
    conf::Settings,
    platform::{decode_settings, settings_path},
    std::{path::PathBuf, process::ExitCode},
};

/// Runs the daemon until it is asked to stop. The exit code is a failure if it could not start or
/// run.
pub fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anvilferryd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings file at `path`, or at the path that the environment gives.
pub(crate) fn read_settings(path: Option<PathBuf>) -> Result<Settings, DaemonError> {
    let path = path.unwrap_or_else(settings_path);
    let text = std::fs::read_to_string(&path).map_err(|source| DaemonError::ReadSettings {
        path: path.clone(),
        source,
    })?;
    decode_settings(&text).map_err(|source| DaemonError::InvalidSettings { path, source })
}

fn run(arguments: Arguments) -> Result<(), DaemonError> {
    let settings = read_settings(arguments.settings)?;
    let mut daemon = Daemon::start(settings, arguments.metrics_port, arguments.transfer_price)?;
    daemon.run()
}
