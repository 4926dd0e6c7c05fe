use {
    crate::{
        doc::Doc,
        problem::{Problem, Problems},
        service_file::ServiceFile,
    },
    site::{CallerLimits, Config, Route},
    std::sync::Arc,
    unit::{Name, Set},
};

const LIMITS: &str = "limits";
const LIMIT_KEYS: &[&str] = &["body_bytes", "head_bytes", "head_ms", "idle_ms"];
const MAX_BYTES: usize = 1 << 30;
const MAX_MS: u64 = 3_600_000;

/// Reads the limits on callers from the text of the file `file`.
///
/// # Errors
/// Fails with everything that is wrong.
pub fn parse_limits(file: &str, text: &str) -> Result<CallerLimits, Problems> {
    let doc = Doc::parse(file, text)?;
    doc.allow(|section| (section == LIMITS).then_some(LIMIT_KEYS));
    let usual = CallerLimits::default();
    let millis = |key, usual: unit::Span| doc.millis(LIMITS, key, 1..=MAX_MS, usual.as_millis());
    let limits = CallerLimits {
        body_bytes: doc.number(LIMITS, "body_bytes", 0..=MAX_BYTES, usual.body_bytes),
        head_bytes: doc.number(LIMITS, "head_bytes", 256..=MAX_BYTES, usual.head_bytes),
        head_timeout: millis("head_ms", usual.head_timeout),
        idle_timeout: millis("idle_ms", usual.idle_timeout),
    };
    doc.finish(Some(limits))
}

/// Joins the files of a site into a configuration; each service comes with the name of its file.
///
/// # Errors
/// Fails where two files clash, or a route leads to a service that has no file.
pub fn compile(
    files: &[(String, ServiceFile)],
    limits: CallerLimits,
    version: u64,
) -> Result<Config, Problems> {
    let mut config = Config {
        limits,
        version,
        ..Config::default()
    };
    let mut problems = Vec::new();
    for (file, service) in files {
        let own = Arc::new(service.service.clone());
        if config.services.insert(own.name.clone(), own).is_some() {
            let wrong = format!("service {} has another file", service.service.name);
            problems.push(problem(
                file,
                "[service] name",
                wrong,
                "give each service one file",
            ));
        }
    }
    let mut names: Set<Name> = Set::default();
    let mut places: Set<(Name, Name)> = Set::default();
    for (file, service) in files {
        for entry in &service.routes {
            let key = format!("[route {}]", entry.route.name);
            if !names.insert(entry.route.name.clone()) {
                let wrong = "another route has this name".to_owned();
                problems.push(problem(file, &key, wrong, "give each route its own name"));
            }
            if !places.insert((entry.host.clone(), entry.route.prefix.clone())) {
                let wrong = "another route has this host and prefix".to_owned();
                problems.push(problem(file, &key, wrong, "join the two, or change one"));
            }
            problems.extend(unknown_targets(&config, file, &key, &entry.route));
            config.add_route(&entry.host, entry.route.clone());
        }
    }
    if problems.is_empty() {
        Ok(config)
    } else {
        Err(Problems(problems))
    }
}

fn unknown_targets(config: &Config, file: &str, key: &str, route: &Route) -> Vec<Problem> {
    let unknown = route
        .targets
        .iter()
        .filter(|target| !config.services.contains_key(&target.service));
    unknown
        .map(|target| {
            let wrong = format!("service {} has no file", target.service);
            problem(
                file,
                key,
                wrong,
                "add the service's file, or correct the name",
            )
        })
        .collect()
}

fn problem(file: &str, key: &str, wrong: String, allowed: &str) -> Problem {
    Problem {
        remedy: allowed.to_owned(),
        file: file.to_owned(),
        key: key.to_owned(),
        line: 1,
        message: wrong,
    }
}
