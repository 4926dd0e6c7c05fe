//! The simulated daemons and their configuration.

use {
    crate::scenario::{Scenario, Workload},
    call::{CallId, Dispatcher, LinkId, Policy},
    conf::Bounds,
    fastrand::Rng,
    pick::{WorkerKey, WorkerTable},
    site::{ColdStart, Config, Route, Service, Target, Worker, WorkerState},
    std::sync::Arc,
    unit::{Map, Name, Span, Time},
};

/// A caller that waits for its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimCaller {
    /// When the caller sent its first request.
    pub(crate) first: Time,
    /// The index of the caller's workload in the scenario.
    pub(crate) workload: usize,
    /// The retries that are left.
    pub(crate) retries: u32,
}

/// A simulated daemon, with the callers that wait there.
pub(crate) struct SimDaemon {
    pub(crate) callers: Map<CallId, SimCaller>,
    pub(crate) dispatcher: Dispatcher,
    /// The index of each worker in the simulation.
    pub(crate) keys: Map<WorkerKey, usize>,
    /// The index of the worker of each connection in use.
    pub(crate) links: Map<LinkId, usize>,
}

/// The fleet-wide limits in the simulations.
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
        quotas: None,
        rollouts: None,
    }
}

pub(crate) fn centre(index: usize, scenario: &Scenario) -> Name {
    format!("centre-{}", index % scenario.centres)
        .as_str()
        .into()
}

pub(crate) fn route(workload: &Workload) -> Route {
    Route {
        max_attempts: 3,
        kind: workload.kind.clone(),
        name: workload.name.into(),
        objective: workload.objective,
        prefix: format!("/{}/", workload.name).as_str().into(),
        priority: workload.priority,
        problem: None,
        public: false,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        timeout: Span::secs(3),
    }
}

fn config(scenario: &Scenario) -> Config {
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
    for workload in &scenario.workloads {
        config.add_route("h", route(workload));
    }
    config
}

fn worker(index: usize, scenario: &Scenario) -> Worker {
    Worker {
        address: "10.0.0.1:80".parse().expect("an address"),
        heartbeats: 1,
        started_ms: 1,
        centre: centre(index, scenario),
        cold_remaining: Span::ZERO,
        id: format!("worker-{index}").as_str().into(),
        service: "s".into(),
        slots: scenario.slots,
        state: WorkerState::Ready,
        version: Name::default(),
    }
}

impl SimDaemon {
    /// A daemon whose process began at `started`, as it is at `now`.
    pub(crate) fn new(
        index: usize,
        scenario: &Scenario,
        policy: Policy,
        started: Time,
        now: Time,
    ) -> Self {
        let name = |index: usize| -> Name { format!("front-{index}").as_str().into() };
        let mut table = WorkerTable::new(name(index), centre(index, scenario), started);
        let others = (0..scenario.daemons).filter(|other| *other != index);
        let others = others.map(|other| (name(other), centre(other, scenario)));
        let others: Map<Name, Name> = others.collect();
        table.set_members(others.iter());
        table.allow_shares_from(Some(now));
        let mut keys = Map::default();
        for index in 0..scenario.workers {
            keys.insert(table.upsert(worker(index, scenario), now), index);
        }
        let seed = scenario.seed * 1_000 + index as u64;
        let mut dispatcher = Dispatcher::new(policy, table, Rng::with_seed(seed));
        dispatcher.configure(Arc::new(config(scenario)));
        Self {
            callers: Map::default(),
            dispatcher,
            keys,
            links: Map::default(),
        }
    }
}
