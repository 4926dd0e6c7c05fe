//! Measures how long the handling of one event takes while workers may get no more health probes:
//! `cargo bench -p call --bench selection`. Prints the mean and the longest time of an event by the
//! size of the fleet, in microseconds.

#![allow(
    clippy::expect_used,
    clippy::print_stdout,
    reason = "a benchmark that prints its figures"
)]

use {
    call::{Arrival, CallAction, CallEvent, CallId, Dispatcher, Policy},
    conf::Bounds,
    pick::WorkerTable,
    poison::Fingerprint,
    site::{
        ColdStart, Config, Credential, HealthReport, LoadReport, Notice, Route, RouteKind, Service,
        Target, Worker, WorkerState,
    },
    std::{sync::Arc, time::Instant},
    unit::{Name, Span, Time},
};

/// The fleets: the numbers of daemons, workers and data centres.
const FLEETS: [(usize, usize, usize); 3] = [(13, 14, 4), (130, 140, 4), (472, 414, 6)];
/// How many requests arrive, and the time between two.
const REQUESTS: u64 = 100;
const GAP: Span = Span::millis(50);

fn main() {
    println!("daemons workers events mean-us max-us");
    for (daemons, workers, centres) in FLEETS {
        let mut times = run(daemons, workers, centres);
        times.sort_unstable();
        let sum: u128 = times.iter().sum();
        let count = times.len();
        let max = times.last().copied().unwrap_or_default();
        println!(
            "{daemons:7} {workers:7} {count:6} {:7} {max:6}",
            sum / count as u128
        );
    }
}

/// The times that events took at one daemon whose workers are all full, in microseconds.
fn run(daemons: usize, workers: usize, centres: usize) -> Vec<u128> {
    let mut now = Time::at(Span::secs(100));
    let mut dispatcher = dispatcher(daemons, workers, centres, now);
    let route = Arc::new(route());
    let mut times = Vec::new();
    for number in 0..REQUESTS {
        let arrival = Arrival {
            account: None,
            call: CallId(number),
            credential: Credential::Absent,
            fingerprint: Fingerprint(number),
            forwarded: None,
            timeout: Some(Span::secs(1)),
            route: Arc::clone(&route),
            waited: Span::ZERO,
        };
        let end = now + GAP;
        let mut events = vec![CallEvent::Arrived(arrival)];
        loop {
            while let Some(event) = events.pop() {
                let began = Instant::now();
                let actions = dispatcher.handle(now, event);
                times.push(began.elapsed().as_micros());
                dispatcher.take_decisions();
                events.extend(actions.into_iter().filter_map(probe_answer));
            }
            match dispatcher.next_tick().filter(|at| *at <= end) {
                Some(at) => {
                    now = now.max(at);
                    events.push(CallEvent::Tick);
                }
                None => break,
            }
        }
        now = end;
    }
    times
}

/// A full worker's response to a probe.
fn probe_answer(action: CallAction) -> Option<CallEvent> {
    let CallAction::Probe { link, .. } = action else {
        return None;
    };
    let health = HealthReport {
        cold_remaining: Some(Span::ZERO),
        healthy: true,
        id: None,
        load: Some(LoadReport {
            latency_percent: 100,
            running: 4,
            slots: 4,
            waiting: 8,
        }),
        notice: Notice::default(),
    };
    Some(CallEvent::ProbeEnded(link, Ok(health)))
}

fn dispatcher(daemons: usize, workers: usize, centres: usize, now: Time) -> Dispatcher {
    let centre = |number: usize| -> Name { format!("centre-{}", number % centres).into() };
    let name = |number: usize| -> Name { format!("front-{number}").into() };
    let mut table = WorkerTable::new(name(0), centre(0), Time::ZERO);
    table.allow_shares_from(Some(now));
    let others: Vec<(Name, Name)> = (1..daemons).map(|at| (name(at), centre(at))).collect();
    table.set_members(others.iter().map(|(name, centre)| (name, centre)));
    for number in 0..workers {
        table.upsert(worker(number, centre(number)), now);
    }
    let bounds = Bounds {
        cold_factor: 1.5,
        cold_slack: 10.0,
        drain: Span::secs(3),
        stop_grace: Span::secs(10),
        max_ttl: Span::secs(5),
        probe_rate: 60.0,
        retry_extra: 630.0,
        retry_ratio: 0.2,
        retry_window: Span::secs(10),
        quotas: None,
        rollouts: None,
    };
    let mut dispatcher = Dispatcher::new(Policy::new(bounds), table, fastrand::Rng::with_seed(1));
    let mut config = Config::default();
    let service = Service {
        cold_start: ColdStart {
            rate: 4.0,
            span: Span::secs(3),
        },
        max_conns: 3_600,
        health_path: "/healthz".into(),
        name: "s".into(),
    };
    config.services.insert("s".into(), Arc::new(service));
    dispatcher.configure(Arc::new(config));
    dispatcher
}

fn worker(number: usize, centre: Name) -> Worker {
    Worker {
        address: "10.0.0.1:80".parse().expect("an address"),
        heartbeats: 1,
        started_ms: 1,
        centre,
        cold_remaining: Span::ZERO,
        id: format!("i-{number}").into(),
        service: "s".into(),
        slots: 4,
        state: WorkerState::Ready,
        version: Name::default(),
    }
}

fn route() -> Route {
    Route {
        max_attempts: 2,
        kind: RouteKind::Idempotent,
        name: "r".into(),
        objective: Span::millis(500),
        prefix: "/".into(),
        priority: 1,
        problem: None,
        public: false,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        timeout: Span::millis(1_200),
    }
}
