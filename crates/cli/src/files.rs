//! The files of a site.

use {
    crate::error::CliError,
    conf::{Problems, ServiceFile, SiteFile, compile},
    site::{ApiKeys, Config},
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// The file that holds the limits on callers and the client accounts; every other file describes a service.
const SITE_FILE: &str = "site.ini";

/// Reads, checks and compiles the files of a site: the files in `paths`, and every `.ini` file
/// directly in a folder in `paths`. Reports the problems of all files together. Returns the keys of
/// the accounts beside the configuration, which has only their digests.
pub(crate) fn read_site(paths: &[PathBuf], version: u64) -> Result<(Config, ApiKeys), CliError> {
    let mut site = SiteFile::default();
    let mut services = Vec::new();
    let mut problems = Vec::new();
    for path in list_files(paths)? {
        let file = path.display().to_string();
        let text = fs::read_to_string(&path).map_err(|error| unreadable_file(&path, error))?;
        if path.file_name().is_some_and(|name| name == SITE_FILE) {
            match SiteFile::parse(&file, &text) {
                Ok(parsed) => site = parsed,
                Err(found) => problems.extend(found.0),
            }
            continue;
        }
        match ServiceFile::parse(&file, &text) {
            Ok(service) => services.push((file, service)),
            Err(found) => problems.extend(found.0),
        }
    }
    if problems.is_empty() {
        Ok((compile(&services, &site, version)?, site.api_keys()))
    } else {
        Err(Problems(problems).into())
    }
}

fn unreadable_file(path: &Path, error: io::Error) -> CliError {
    let file = path.display().to_string();
    CliError::UnreadableFile { error, file }
}

/// The files to read, sorted by path.
fn list_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CliError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = fs::read_dir(path).map_err(|error| unreadable_file(path, error))?;
        for entry in entries {
            let file = entry.map_err(|error| unreadable_file(path, error))?.path();
            if file.extension().is_some_and(|extension| extension == "ini") {
                files.push(file);
            }
        }
    }
    files.sort();
    if files.is_empty() {
        let message = "no service files found; name files or a folder with .ini files".to_owned();
        return Err(CliError::Failed(message));
    }
    Ok(files)
}
