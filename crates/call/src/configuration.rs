//! Applying a configuration to the requests of a daemon.

use {
    crate::dispatcher::Dispatcher,
    site::{Accounts, Config, Route},
    std::sync::Arc,
    unit::Set,
};

impl Dispatcher {
    /// Applies a configuration. Requests in progress keep their routes, and are sent only if they
    /// would still be admitted for their accounts. The weighted splits and latency estimates of
    /// removed routes are dropped.
    pub fn configure(&mut self, config: Arc<Config>) {
        let mut routes = Set::default();
        self.lowest_priority.clear();
        self.public_routes.clear();
        for route in config.hosts.values().flatten() {
            routes.insert(&route.name);
            self.public_routes.insert(route.name.clone(), route.public);
            let priority = lowest_priority(&config, route);
            for target in &route.targets {
                let lowest = self
                    .lowest_priority
                    .entry(target.service.clone())
                    .or_default();
                *lowest = priority.max(*lowest);
            }
        }
        self.reaches
            .retain(|name, _| config.services.contains_key(name));
        self.splits.retain(|name, _| routes.contains(name));
        self.wait_limits.retain(|name, _| routes.contains(name));
        self.latency_estimates
            .retain(|name, _| routes.contains(name));
        self.accounts = Accounts::new(&config);
        self.leaving
            .retain(|name, _| config.services.contains_key(name));
        self.transfers.retain(|name, _| routes.contains(name));
        self.config = config;
    }
}

/// The lowest priority that a request for a route may have: the route's own, if some requests have
/// it, and those of the accounts that have one.
fn lowest_priority(config: &Config, route: &Route) -> u32 {
    let accounts = config.accounts.values();
    let own = !config.has_accounts()
        || route.public
        || accounts.clone().any(|account| account.priority.is_none());
    let own = own.then_some(route.priority);
    let lowest = accounts.filter_map(|account| account.priority).chain(own);
    lowest.max().unwrap_or(route.priority)
}
