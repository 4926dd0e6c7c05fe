use {
    crate::error::CliError,
    conf::{Problem, Problems, Service},
    std::{
        collections::BTreeMap,
        fs,
        path::{Path, PathBuf},
    },
    unit::Name,
};

/// The text of each service file, by the service's name.
pub(crate) type Files = BTreeMap<Name, String>;

/// Reads and checks service files: those named, and every `.ini` in the folders named.
pub(crate) fn collect(paths: &[PathBuf]) -> Result<Files, CliError> {
    let mut files = Files::new();
    let mut problems = Vec::new();
    for path in expand(paths)? {
        let shown = path.display().to_string();
        let text = read(&path)?;
        match Service::parse(&shown, &text) {
            Ok(service) => {
                if files.insert(service.name.clone(), text).is_some() {
                    problems.push(twice(shown, &service.name));
                }
            }
            Err(found) => problems.extend(found.0),
        }
    }
    if problems.is_empty() {
        Ok(files)
    } else {
        Err(Problems(problems).into())
    }
}

fn twice(file: String, name: &str) -> Problem {
    Problem {
        allowed: "give each service one file".to_owned(),
        file,
        key: "[service] name".to_owned(),
        line: 1,
        wrong: format!("service {name} has another file"),
    }
}

fn read(path: &Path) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(|error| unreadable(path, error))
}

fn unreadable(path: &Path, error: std::io::Error) -> CliError {
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
