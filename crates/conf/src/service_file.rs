use {
    crate::{
        doc::Doc,
        problem::Problems,
        route_file::{ROUTE_KEYS, RouteFile},
    },
    site::{ColdStart, Service},
    unit::{Name, Span},
};

const SERVICE: &str = "service";
const SERVICE_KEYS: &[&str] = &["cold_ms", "cold_per_s", "connections", "health", "name"];
const ROUTE: &str = "route ";

const DEFAULT_CONNECTIONS: u32 = 220;
const DEFAULT_COLD_MS: u64 = 3_000;
const DEFAULT_COLD_RATE: f64 = 10.0;
const MAX_MS: u64 = 3_600_000;

/// What a service's owner writes beside its code: the service and the routes that lead to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceFile {
    pub(crate) routes: Vec<RouteFile>,
    /// The service.
    pub service: Service,
}

impl ServiceFile {
    /// Reads the text of the file `file`.
    ///
    /// # Errors
    /// Fails with everything that is wrong.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let doc = Doc::parse(file, text)?;
        doc.allow(|section| match section {
            SERVICE => Some(SERVICE_KEYS),
            route if route.starts_with(ROUTE) => Some(ROUTE_KEYS),
            _ => None,
        });
        let service = read_service(&doc);
        let own = service.as_ref().map(|service| service.name.clone());
        let routes = doc
            .sections()
            .into_iter()
            .filter_map(|section| Some((section, section.strip_prefix(ROUTE)?.trim())))
            .filter_map(|(section, name)| RouteFile::read(&doc, section, name, own.as_ref()))
            .collect();
        doc.finish(service.map(|service| Self { routes, service }))
    }
}

fn read_service(doc: &Doc<'_>) -> Option<Service> {
    let name = doc.name(SERVICE, "name");
    let health = doc.text(SERVICE, "health").unwrap_or("/healthz");
    if !health.starts_with('/') {
        let allowed = "give a path that begins with a slash";
        doc.report(
            SERVICE,
            "health",
            &format!("{health:?} is no path"),
            allowed,
        );
    }
    let rate = doc.number(SERVICE, "cold_per_s", 0.1..=1e6, DEFAULT_COLD_RATE);
    let span: Span = doc.millis(SERVICE, "cold_ms", 0..=MAX_MS, DEFAULT_COLD_MS);
    let conns = doc.number(SERVICE, "connections", 1..=1_000_000, DEFAULT_CONNECTIONS);
    Some(Service {
        cold_start: ColdStart { rate, span },
        max_conns: conns,
        health_path: health.into(),
        name: Name::from(name?),
    })
}
