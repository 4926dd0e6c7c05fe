use {
    crate::{daemon::Daemon, flow::millis},
    conf::Generation,
    nix::sys::resource::{UsageWho, getrusage},
    peer::Standing,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        fs,
        net::TcpStream,
        sync::{Arc, atomic::Ordering},
    },
    wire::{Handler, Request, Response},
};

/// Decisions in a dump.
const NEWEST: usize = 200;

/// The operators' side of the daemon.
pub(crate) struct Operators(pub(crate) Arc<Daemon>);

impl Handler for Operators {
    fn handle(&self, request: Request, _sock: &TcpStream) -> Option<Response> {
        let daemon = &*self.0;
        let response = match (request.method.as_str(), request.path()) {
            ("GET", "/dump") => Response::json(200, dump(daemon)),
            ("GET", "/explain") => explain(daemon, &request),
            ("GET", "/healthz") => Response::text(200, "ok\n"),
            ("GET", "/metrics") => {
                refresh(daemon);
                Response::new(200, "text/plain; version=0.0.4", daemon.metrics.text())
            }
            ("GET", "/readyz") => ready(daemon),
            ("GET", _) => {
                Response::text(404, "ask for dump, explain, healthz, metrics or readyz\n")
            }
            _ => Response::text(405, "ask with GET\n"),
        };
        Some(response)
    }
}

fn ready(daemon: &Daemon) -> Response {
    let standing = daemon.standing();
    let isolated = daemon.isolated.load(Ordering::Relaxed);
    let good = standing == Standing::Serving && !isolated;
    let body = json!({"isolated": isolated, "standing": standing});
    Response::json(if good { 200 } else { 503 }, body)
}

fn explain(daemon: &Daemon, request: &Request) -> Response {
    let id = request.query("id").and_then(|label| {
        let (life, id) = label.split_once('-')?;
        let own = u64::from_str_radix(life, 16) == Ok(daemon.life);
        u64::from_str_radix(id, 16).ok().filter(|_| own)
    });
    let Some(id) = id else {
        return Response::text(
            404,
            "give ?id= with an Anvilferry-Request of this daemon's life\n",
        );
    };
    Response::json(
        200,
        json!({"decisions": daemon.journal.about(id), "request": id}),
    )
}

fn dump(daemon: &Daemon) -> Value {
    let now = daemon.now();
    let live = daemon.live.load();
    let services: BTreeMap<&str, Value> = live
        .services
        .values()
        .map(|(service, hall)| {
            let entries = daemon.entries_of(&live, &service.name, service.entries);
            let entries: Vec<_> = entries.into_iter().map(|own| own.name).collect();
            (
                &*service.name,
                json!({"desk": hall.report(now), "entries": entries}),
            )
        })
        .collect();
    let (refused, peers) = {
        let spread = daemon.spread.lock();
        let names = daemon.view.lock().listed_names();
        let peer = |name| Some((name, spread.peer(name)?));
        let peers: BTreeMap<_, Generation> = names.iter().filter_map(peer).collect();
        (spread.refused(), json!(peers))
    };
    json!({
        "cpu_ms": cpu_millis(),
        "decisions": daemon.journal.newest(NEWEST),
        "flying": daemon.flying.load(Ordering::Relaxed),
        "generation": live.bundle.generation,
        "isolated": daemon.isolated.load(Ordering::Relaxed),
        "keys": daemon.ledger.lock().len(),
        "life": format!("{:x}", daemon.life),
        "list": live.list.version,
        "memory_kb": memory_kb(),
        "name": daemon.settings.name,
        "now_ms": millis(now),
        "out": {"data_centres": live.bundle.root.centres, "vms": live.bundle.root.vms},
        "peer_bytes": daemon.links.bytes(),
        "peer_generations": peers,
        "platform_near": daemon.platform_near(),
        "pooled": daemon.pool.len(),
        "refused_generation": refused,
        "services": services,
        "up_ms": u64::try_from(daemon.started.elapsed().as_millis()).unwrap_or(u64::MAX),
        "view": daemon.view.lock().report(now),
    })
}

/// Brings the gauges up to date.
fn refresh(daemon: &Daemon) {
    let now = daemon.now();
    let metrics = &daemon.metrics;
    let gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
    metrics.peer_bytes.set(gauge(daemon.links.bytes()));
    let counts = daemon.client.counts();
    for (ending, count) in [
        ("failed", &counts.failed),
        ("made", &counts.made),
        ("spent", &counts.spent),
    ] {
        metrics
            .platform
            .with_label_values(&[ending])
            .set(gauge(count.load(Ordering::Relaxed)));
    }
    for (service, hall) in daemon.live.load().services.values() {
        let report = hall.report(now);
        let waiting = metrics.waiting.with_label_values(&[&service.name]);
        waiting.set(gauge(report.waiting as u64));
        for state in ["open", "closed", "cold", "failing", "slow", "stalled"] {
            let count = report
                .workers
                .iter()
                .filter(|worker| worker.state == state)
                .count();
            let labels = [&*service.name, state];
            metrics
                .workers
                .with_label_values(&labels)
                .set(gauge(count as u64));
        }
    }
}

/// Processor time of this process, in milliseconds.
fn cpu_millis() -> i64 {
    getrusage(UsageWho::RUSAGE_SELF).map_or(0, |usage| {
        let (user, system) = (usage.user_time(), usage.system_time());
        (user.tv_sec() + system.tv_sec()) * 1_000 + (user.tv_usec() + system.tv_usec()) / 1_000
    })
}

/// Resident memory of this process, in kibibytes.
fn memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}
