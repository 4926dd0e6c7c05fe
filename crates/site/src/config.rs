use {
    crate::{CallerLimits, Route, Service},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    unit::{Map, Name},
};

/// One accepted configuration in full.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The routes of each host, longest prefix first.
    pub hosts: Map<Name, Vec<Arc<Route>>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// The services by name.
    pub services: Map<Name, Arc<Service>>,
    /// Its number; later configurations have higher ones.
    pub version: u64,
}

impl Config {
    /// Adds a route of `host`, keeping longer prefixes before shorter ones.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self
            .hosts
            .entry(host.to_ascii_lowercase().into())
            .or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// The route of a request: of the routes of `host`, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = bare_host(host).to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}

/// A host without its port.
fn bare_host(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
