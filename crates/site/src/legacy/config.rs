//! The configuration without client accounts, and routes whose kinds legacy builds know.

use {
    crate::{CallerLimits, Config, Route, RouteKind, Service, Target},
    serde::Serialize,
    std::sync::Arc,
    unit::{Map, Name, Span},
};

/// A configuration as legacy builds decode it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LegacyConfig {
    hosts: Map<Name, Vec<LegacyRoute>>,
    limits: CallerLimits,
    services: Map<Name, Arc<Service>>,
    version: u64,
}

impl From<&Config> for LegacyConfig {
    fn from(config: &Config) -> Self {
        let routes = |routes: &Vec<Arc<Route>>| {
            let routes = routes.iter();
            routes.map(|route| LegacyRoute::from(&**route)).collect()
        };
        let hosts = config.hosts.iter();
        Self {
            hosts: hosts
                .map(|(host, list)| (host.clone(), routes(list)))
                .collect(),
            limits: config.limits,
            services: config.services.clone(),
            version: config.version,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
struct LegacyRoute {
    max_attempts: u32,
    kind: LegacyRouteKind,
    name: Name,
    objective: Span,
    prefix: Name,
    priority: u32,
    problem: Option<Name>,
    targets: Vec<Target>,
    timeout: Span,
}

impl From<&Route> for LegacyRoute {
    fn from(route: &Route) -> Self {
        Self {
            max_attempts: route.max_attempts,
            kind: LegacyRouteKind::from(&route.kind),
            name: route.name.clone(),
            objective: route.objective,
            prefix: route.prefix.clone(),
            priority: route.priority,
            problem: route.problem.clone(),
            targets: route.targets.clone(),
            timeout: route.timeout,
        }
    }
}

// The order of the variants is that of their numbers on the wire.
#[derive(Clone, Debug, Serialize)]
enum LegacyRouteKind {
    AtMostOnce,
    Download,
    Idempotent,
    Unknown(Name),
}

impl From<&RouteKind> for LegacyRouteKind {
    fn from(kind: &RouteKind) -> Self {
        match kind {
            RouteKind::AtMostOnce => Self::AtMostOnce,
            RouteKind::Download => Self::Download,
            RouteKind::Idempotent => Self::Idempotent,
            RouteKind::Unknown(name) => Self::Unknown(name.clone()),
            // A legacy build that reads this kind from the store doesn't know it either. It runs
            // requests of an unknown kind at most once, as uploads require.
            RouteKind::Upload => Self::Unknown(kind.name().into()),
        }
    }
}
