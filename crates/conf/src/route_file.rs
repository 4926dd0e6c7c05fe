use {
    crate::doc::Doc,
    site::{Idempotency, Route, Target},
    unit::Name,
};

pub(crate) const ROUTE_KEYS: &[&str] = &[
    "attempts",
    "host",
    "kind",
    "objective_ms",
    "prefix",
    "priority",
    "targets",
    "timeout_ms",
];

const MAX_MS: u64 = 3_600_000;
const DEFAULT_OBJECTIVE_MS: u64 = 500;
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_ATTEMPTS: u32 = 2;
const DEFAULT_PRIORITY: u32 = 1;

/// One route of a service file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouteFile {
    pub(crate) host: Name,
    pub(crate) route: Route,
}

impl RouteFile {
    /// Reads a section; `own` is the service of the file, where it has a name.
    pub(crate) fn read(
        doc: &Doc<'_>,
        section: &str,
        name: &str,
        own: Option<&Name>,
    ) -> Option<Self> {
        let host = doc.need(section, "host", "give the host that callers name");
        let prefix = doc.parse_with(section, "prefix", "give a path between slashes", prefix);
        let kind = doc.parse_with(section, "kind", "give idempotent or at-most-once", kind);
        let targets = match doc.text(section, "targets") {
            None => own.map(|own| vec![target(own, 1)]),
            Some(_) => doc.parse_with(
                section,
                "targets",
                "give services with their weights, as in gallery:90, gallery-new:10",
                targets,
            ),
        };
        let millis = |key, default| doc.millis(section, key, 1..=MAX_MS, default);
        let attempts = doc.number(section, "attempts", 1..=16, DEFAULT_ATTEMPTS);
        let priority = doc.number(section, "priority", 0..=1_000, DEFAULT_PRIORITY);
        let objective = millis("objective_ms", DEFAULT_OBJECTIVE_MS);
        let timeout = millis("timeout_ms", DEFAULT_TIMEOUT_MS);
        Some(Self {
            host: host?.into(),
            route: Route {
                max_attempts: attempts,
                idempotency: kind?,
                name: name.into(),
                objective,
                prefix: prefix?,
                priority,
                targets: targets?,
                timeout,
            },
        })
    }
}

fn prefix(text: &str) -> Option<Name> {
    let whole = text.starts_with('/') && text.ends_with('/');
    whole.then(|| text.into())
}

fn kind(text: &str) -> Option<Idempotency> {
    match text {
        "at-most-once" => Some(Idempotency::AtMostOnce),
        "idempotent" => Some(Idempotency::Idempotent),
        _ => None,
    }
}

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
