//! The configuration of fleets under test.

use {
    site::{CallerLimits, ColdStart, Config, Route, RouteKind, Service, Target},
    std::sync::Arc,
    unit::Span,
};

/// The name of the only service.
pub const SERVICE: &str = "gallery";
/// The path prefix of the route whose requests are idempotent.
pub const READ_PREFIX: &str = "/pictures/";
/// The path prefix of the route whose requests may run at most once.
pub const WRITE_PREFIX: &str = "/payouts/";
/// The host of both routes.
pub(crate) const HOST: &str = "gallery.example";
/// The path of the workers' health endpoint.
pub(crate) const HEALTH_PATH: &str = "/healthz";

/// Returns a configuration with one service, a route for reads and a route for writes.
pub fn config(version: u64) -> Config {
    let service = Service {
        cold_start: ColdStart {
            rate: 14.0,
            span: Span::secs(3),
        },
        max_conns: 220,
        health_path: HEALTH_PATH.into(),
        name: SERVICE.into(),
    };
    let mut config = Config {
        limits: CallerLimits::default(),
        version,
        ..Config::default()
    };
    config.services.insert(SERVICE.into(), Arc::new(service));
    config.add_route(HOST, route("reads", READ_PREFIX, RouteKind::Idempotent, 2));
    config.add_route(
        HOST,
        route("writes", WRITE_PREFIX, RouteKind::AtMostOnce, 1),
    );
    config
}

fn route(name: &str, prefix: &str, kind: RouteKind, priority: u32) -> Route {
    Route {
        max_attempts: 2,
        kind,
        name: name.into(),
        objective: Span::millis(200),
        prefix: prefix.into(),
        priority,
        problem: None,
        public: false,
        targets: vec![Target {
            service: SERVICE.into(),
            weight: 1,
        }],
        timeout: Span::millis(1_000),
    }
}
