//! The daemons of a town, and the site that they serve.

use {
    crate::shape::{Flow, Shape},
    call::{CallId, Dispatcher, LinkId, Policy},
    conf::Bounds,
    fastrand::Rng,
    pick::{WorkerKey, WorkerTable},
    site::{ColdStart, Config, Route, Service, Target, Worker, WorkerState},
    std::sync::Arc,
    unit::{Map, Name, Span, Time},
};

/// A caller that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) first: Time,
    pub(crate) flow: usize,
    pub(crate) retries: u32,
}

/// A daemon of the town, and what waits there.
pub(crate) struct Daemon {
    pub(crate) callers: Map<CallId, Caller>,
    pub(crate) desk: Dispatcher,
    pub(crate) keys: Map<WorkerKey, usize>,
    pub(crate) links: Map<LinkId, usize>,
}

/// What the users of the towns allow.
pub(crate) fn bounds() -> Bounds {
    Bounds {
        cold_factor: 1.5,
        cold_slack: 5.0,
        drain: Span::secs(2),
        stop_grace: Span::secs(6),
        max_ttl: Span::secs(5),
        probe_rate: 60.0,
        retry_extra: 56.0,
        retry_ratio: 0.2,
        retry_window: Span::secs(10),
    }
}

fn centre(at: usize, shape: &Shape) -> Name {
    format!("centre-{}", at % shape.centres).as_str().into()
}

pub(crate) fn route(flow: &Flow) -> Route {
    Route {
        max_attempts: 3,
        idempotency: flow.kind,
        name: flow.name.into(),
        objective: flow.objective,
        prefix: format!("/{}/", flow.name).as_str().into(),
        priority: flow.rank,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        timeout: Span::secs(3),
    }
}

fn config(shape: &Shape) -> Config {
    let mut config = Config::default();
    let service = Service {
        cold_start: ColdStart {
            rate: 14.0,
            span: Span::secs(3),
        },
        max_conns: 1_000,
        health_path: "/healthz".into(),
        name: "s".into(),
    };
    config.services.insert("s".into(), Arc::new(service));
    for flow in &shape.flows {
        config.add_route("h", route(flow));
    }
    config
}

fn worker(at: usize, shape: &Shape) -> Worker {
    Worker {
        address: "10.0.0.1:80".parse().expect("an address"),
        heartbeats: 1,
        started_ms: 1,
        centre: centre(at, shape),
        cold_remaining: Span::ZERO,
        id: format!("worker-{at}").as_str().into(),
        service: "s".into(),
        slots: shape.slots,
        state: WorkerState::Ready,
    }
}

impl Daemon {
    pub(crate) fn new(at: usize, shape: &Shape, policy: Policy, now: Time) -> Self {
        let name = |at: usize| -> Name { format!("front-{at}").as_str().into() };
        let mut table = WorkerTable::new(name(at), centre(at, shape));
        let members = (0..shape.daemons).map(|at| (name(at), centre(at, shape)));
        table.set_members(members.collect());
        table.allow_cold_from(Some(now));
        let mut keys = Map::default();
        for at in 0..shape.workers {
            keys.insert(table.upsert(worker(at, shape), now), at);
        }
        let seed = shape.seed * 1_000 + at as u64;
        let mut desk = Dispatcher::new(policy, table, Rng::with_seed(seed));
        desk.configure(Arc::new(config(shape)));
        Self {
            callers: Map::default(),
            desk,
            keys,
            links: Map::default(),
        }
    }
}
