use {
    crate::{Account, AccountProblem, CallerLimits, Route, RouteKind, Service},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    unit::{Map, Name},
};

/// A validated configuration. Routes that can't be served as they are configured are marked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The accounts and keys that are not in force as they are configured.
    pub account_problems: Vec<AccountProblem>,
    /// The client accounts by name.
    pub accounts: Map<Name, Arc<Account>>,
    /// The routes of each host, whose name is in lower case; longest prefix first.
    pub hosts: Map<Name, Vec<Arc<Route>>>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The services by name.
    pub services: Map<Name, Arc<Service>>,
    /// The version number; it grows with each published configuration.
    pub version: u64,
}

impl Config {
    /// The routes that are not served as they are configured, each with the reason.
    pub fn problems(&self) -> impl Iterator<Item = (&Name, String)> {
        self.hosts.values().flatten().filter_map(|route| {
            let reason = match (&route.problem, &route.kind) {
                (Some(problem), _) => problem.to_string(),
                (None, RouteKind::Unknown(kind)) => {
                    format!("kind {kind} is not known; its requests run at most once")
                }
                (None, _) => return None,
            };
            Some((&route.name, reason))
        })
    }

    /// Whether requests need the key of a client account, except on public routes: accounts are
    /// listed. An account that is not in force counts as listed, so that a list of which no entry
    /// can be read doesn't admit requests without keys.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty() || !self.account_problems.is_empty()
    }

    /// Adds a route for `host`, keeping longer prefixes before shorter ones.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self
            .hosts
            .entry(host.to_ascii_lowercase().into())
            .or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Arc::new(route));
    }

    /// The route for a request: the route of `host` whose prefix is the longest that `path` begins
    /// with. `host` may carry a port and is matched without regard to case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = normal_host(host);
        let routes = self.hosts.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}

/// A host as routes are looked up by it: in lower case, without a port.
pub fn normal_host(host: &str) -> String {
    strip_port(host).to_ascii_lowercase()
}

/// Strips the port, if any, from a host.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
