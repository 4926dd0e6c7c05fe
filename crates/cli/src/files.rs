use {
    crate::error::CliError,
    conf::{Problems, ServiceFile, compile, parse_limits},
    site::{CallerLimits, Config},
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// The name of the file with the limits on callers.
const SITE_FILE: &str = "site.ini";

/// Reads and checks the files of a site: those named, and every `.ini` in the folders named.
pub(crate) fn read_site(paths: &[PathBuf], version: u64) -> Result<Config, CliError> {
    let mut limits = CallerLimits::default();
    let mut services = Vec::new();
    let mut problems = Vec::new();
    for path in expand(paths)? {
        let shown = path.display().to_string();
        let text = fs::read_to_string(&path).map_err(|error| unreadable(&path, error))?;
        if path.file_name().is_some_and(|name| name == SITE_FILE) {
            match parse_limits(&shown, &text) {
                Ok(found) => limits = found,
                Err(found) => problems.extend(found.0),
            }
            continue;
        }
        match ServiceFile::parse(&shown, &text) {
            Ok(service) => services.push((shown, service)),
            Err(found) => problems.extend(found.0),
        }
    }
    if problems.is_empty() {
        Ok(compile(&services, limits, version)?)
    } else {
        Err(Problems(problems).into())
    }
}

fn unreadable(path: &Path, error: io::Error) -> CliError {
    let file = path.display().to_string();
    CliError::Unreadable { error, file }
}

fn expand(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CliError> {
    let mut all = Vec::new();
    for path in paths {
        if !path.is_dir() {
            all.push(path.clone());
            continue;
        }
        let entries = fs::read_dir(path).map_err(|error| unreadable(path, error))?;
        for entry in entries {
            let file = entry.map_err(|error| unreadable(path, error))?.path();
            if file.extension().is_some_and(|ending| ending == "ini") {
                all.push(file);
            }
        }
    }
    all.sort();
    if all.is_empty() {
        let told = "no service files found; name files or a folder with .ini files".to_owned();
        return Err(CliError::Refused(told));
    }
    Ok(all)
}
