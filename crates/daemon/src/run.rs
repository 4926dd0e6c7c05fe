use {
    crate::{arguments::Arguments, daemon::Daemon, error::DaemonError},
    clap::Parser,
    conf::Settings,
    platform::{decode_settings, settings_path},
    std::{path::PathBuf, process::ExitCode},
};

/// Runs the daemon; the process's exit code tells whether it ended as it was told.
pub fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anvilferryd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads a settings file, or the one that the environment names.
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
    let mut daemon = Daemon::start(settings, arguments.metrics_port)?;
    daemon.run()
}
