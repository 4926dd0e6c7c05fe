use {
    crate::ini_file::IniFile,
    site::{Route, RouteKind, Target},
    unit::Name,
};

pub(crate) const ROUTE_KEYS: &[&str] = &[
    "attempts",
    "host",
    "kind",
    "objective_ms",
    "prefix",
    "priority",
    "public",
    "targets",
    "timeout_ms",
];

/// The longest objective and timeout, in milliseconds.
const MAX_MS: u64 = 3_600_000;
const DEFAULT_OBJECTIVE_MS: u64 = 500;
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_ATTEMPTS: u32 = 2;
const DEFAULT_PRIORITY: u32 = 1;

/// A `[route NAME]` section of a service file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouteSection {
    pub(crate) host: Name,
    pub(crate) route: Route,
}

impl RouteSection {
    /// Reads the section of the route `name`. `service` is the file's own service, the default
    /// target; it is absent if the file doesn't give its name. Returns nothing if the section is
    /// invalid.
    pub(crate) fn read(
        ini: &IniFile<'_>,
        section: &str,
        name: &str,
        service: Option<&Name>,
    ) -> Option<Self> {
        let host = ini.parse_with(
            section,
            "host",
            "give the host without a port, as in gallery.example",
            host,
        );
        let prefix = ini.parse_with(section, "prefix", "give a path between slashes", prefix);
        let kind = ini.parse_with(
            section,
            "kind",
            "give idempotent, download, at-most-once or upload",
            kind,
        );
        let targets = match ini.value(section, "targets") {
            None => service.map(|service| vec![target(service, 1)]),
            Some(_) => ini.parse_with(
                section,
                "targets",
                "give services with their weights, as in gallery:90, gallery-new:10",
                targets,
            ),
        };
        let millis = |key, default| ini.millis(section, key, 1..=MAX_MS, default);
        let max_attempts = ini.number(section, "attempts", 1..=16, DEFAULT_ATTEMPTS);
        let priority = ini.number(section, "priority", 0..=1_000, DEFAULT_PRIORITY);
        let public = match ini.value(section, "public") {
            None => false,
            Some(_) => ini.parse_with(section, "public", "give true or false", flag)?,
        };
        let objective = millis("objective_ms", DEFAULT_OBJECTIVE_MS);
        let timeout = millis("timeout_ms", DEFAULT_TIMEOUT_MS);
        Some(Self {
            host: host?,
            route: Route {
                max_attempts,
                kind: kind?,
                name: name.into(),
                objective,
                prefix: prefix?,
                priority,
                problem: None,
                public,
                targets: targets?,
                timeout,
            },
        })
    }
}

/// Parses a host, in lower case as it is matched.
fn host(text: &str) -> Option<Name> {
    let valid = !text.contains([':', '/']);
    valid.then(|| text.to_ascii_lowercase().into())
}

/// Parses a path prefix, which begins and ends with a slash.
fn prefix(text: &str) -> Option<Name> {
    let valid = text.starts_with('/') && text.ends_with('/');
    valid.then(|| text.into())
}

fn flag(text: &str) -> Option<bool> {
    text.parse().ok()
}

fn kind(text: &str) -> Option<RouteKind> {
    match text {
        "at-most-once" => Some(RouteKind::AtMostOnce),
        "download" => Some(RouteKind::Download),
        "idempotent" => Some(RouteKind::Idempotent),
        "upload" => Some(RouteKind::Upload),
        _ => None,
    }
}

/// Parses `service:weight` pairs, separated by commas, of which at least one weight isn't zero.
fn targets(text: &str) -> Option<Vec<Target>> {
    let targets: Option<Vec<Target>> = text
        .split(',')
        .map(|part| {
            let (name, weight) = part.trim().rsplit_once(':')?;
            Some(target(&name.trim().into(), weight.trim().parse().ok()?))
        })
        .collect();
    targets.filter(|targets| targets.iter().any(|target| target.weight > 0))
}

fn target(service: &Name, weight: u32) -> Target {
    Target {
        service: service.clone(),
        weight,
    }
}
