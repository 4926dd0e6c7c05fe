use {
    crate::{
        ini_file::IniFile,
        problem::Problems,
        route_section::{ROUTE_KEYS, RouteSection},
    },
    site::{ColdStart, Service},
    unit::{Name, Span},
};

const SERVICE: &str = "service";
const SERVICE_KEYS: &[&str] = &["cold_ms", "cold_per_s", "connections", "health", "name"];
/// The prefix of a route's section, before the route's name.
const ROUTE: &str = "route ";

const DEFAULT_CONNECTIONS: u32 = 220;
const DEFAULT_COLD_MS: u64 = 3_000;
const DEFAULT_COLD_PER_S: f64 = 10.0;
const MAX_MS: u64 = 3_600_000;

/// A service and the routes to it, as the service's owner keeps them beside its code.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceFile {
    pub(crate) routes: Vec<RouteSection>,
    /// The service.
    pub service: Service,
}

impl ServiceFile {
    /// Parses `text`, the contents of the file named `file`.
    ///
    /// # Errors
    /// Fails with all problems in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let ini = IniFile::parse(file, text)?;
        ini.check_sections(|section| match section {
            SERVICE => Some(SERVICE_KEYS),
            route if route.starts_with(ROUTE) => Some(ROUTE_KEYS),
            _ => None,
        });
        let service = read_service(&ini);
        let service_name = service.as_ref().map(|service| service.name.clone());
        let routes = ini
            .sections()
            .into_iter()
            .filter_map(|section| Some((section, section.strip_prefix(ROUTE)?.trim())))
            .filter_map(|(section, name)| {
                RouteSection::read(&ini, section, name, service_name.as_ref())
            })
            .collect();
        ini.finish(service.map(|service| Self { routes, service }))
    }
}

fn read_service(ini: &IniFile<'_>) -> Option<Service> {
    let name = ini.name(SERVICE, "name");
    let health_path = ini.value(SERVICE, "health").unwrap_or("/healthz");
    if !health_path.starts_with('/') {
        let remedy = "give a path that begins with a slash";
        ini.report(
            SERVICE,
            "health",
            &format!("{health_path:?} is not a path"),
            remedy,
        );
    }
    let rate = ini.number(SERVICE, "cold_per_s", 0.1..=1e6, DEFAULT_COLD_PER_S);
    let span: Span = ini.millis(SERVICE, "cold_ms", 0..=MAX_MS, DEFAULT_COLD_MS);
    let max_conns = ini.number(SERVICE, "connections", 1..=1_000_000, DEFAULT_CONNECTIONS);
    Some(Service {
        cold_start: ColdStart { rate, span },
        max_conns,
        health_path: health_path.into(),
        name: Name::from(name?),
    })
}
