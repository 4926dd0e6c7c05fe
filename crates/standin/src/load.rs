//! Open-loop callers against a fleet of real processes.

use {
    crate::{
        StandinError,
        arrivals::{Arrival, Kind, draw},
        caller::{Caller, Ended, Order, Reply},
        fleet::Fleet,
        mood::{Count, Mood},
        report::{Report, Tally, ending},
        scenario::Scenario,
    },
    crossbeam::channel::{Receiver, unbounded},
    serde_json::Value,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// A call with the time it was planned for.
struct Due {
    arrival: Arrival,
    index: usize,
    planned: Instant,
}

struct Done {
    id: String,
    kind: Kind,
    late: Duration,
    measured: bool,
    reply: Reply,
    took: Duration,
}

/// What a fleet had used at one moment.
struct Used {
    at: Instant,
    counts: BTreeMap<String, Count>,
    dumps: Vec<Value>,
}

/// Something done to the fleet while calls come.
pub type Disturbance<'a> = Box<dyn FnOnce(&Fleet) + Send + 'a>;

/// Runs a scenario on a new fleet, choosing workers in one of its ways.
///
/// # Errors
/// Fails where the fleet can't be started or asked.
pub fn run(scenario: &Scenario, way: &str) -> Result<Report, StandinError> {
    let fleet = Fleet::start(scenario.plan(way))?;
    run_on(scenario, &fleet, None)
}

/// Runs a scenario on a running fleet; `disturb` runs beside it from the end of the warm-up.
///
/// # Errors
/// Fails where the fleet can't be asked.
pub fn run_on(
    scenario: &Scenario,
    fleet: &Fleet,
    disturb: Option<Disturbance<'_>>,
) -> Result<Report, StandinError> {
    for target in &scenario.targets {
        let slow = Mood {
            slowness: scenario.slowness,
            ..Mood::default()
        };
        for worker in fleet.workers(&target.name).iter().take(scenario.stragglers) {
            fleet.mood(worker, &slow)?;
        }
    }
    let arrivals = draw(scenario);
    let start = Instant::now() + Duration::from_millis(100);
    let warm = start + Duration::from_secs(scenario.warmup);
    let daemons = fleet.callers();
    thread::scope(|scope| {
        let (due, queue) = unbounded();
        let callers: Vec<_> = (0..scenario.callers)
            .map(|number| {
                let (queue, daemons) = (queue.clone(), daemons.clone());
                scope.spawn(move || call(scenario, &queue, daemons, number, warm))
            })
            .collect();
        drop(queue);
        scope.spawn(move || {
            for (index, arrival) in arrivals.into_iter().enumerate() {
                let planned = start + arrival.at;
                thread::sleep(planned.saturating_duration_since(Instant::now()));
                let due_now = Due {
                    arrival,
                    index,
                    planned,
                };
                if due.send(due_now).is_err() {
                    return;
                }
            }
        });
        thread::sleep(warm.saturating_duration_since(Instant::now()));
        let before = used(fleet)?;
        if let Some(disturb) = disturb {
            scope.spawn(move || disturb(fleet));
        }
        let end = warm + Duration::from_secs(scenario.seconds);
        thread::sleep(end.saturating_duration_since(Instant::now()));
        let after = used(fleet)?;
        let done = callers
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .flatten();
        let done: Vec<Done> = done.collect();
        summarize(scenario, fleet, &done, &before, &after)
    })
}

fn call(
    scenario: &Scenario,
    queue: &Receiver<Due>,
    daemons: Vec<SocketAddr>,
    number: usize,
    warm: Instant,
) -> Vec<Done> {
    let mut caller = Caller::new(daemons, scenario.seed ^ number as u64);
    let mut all = Vec::new();
    for due in queue {
        let kind = due.arrival.kind;
        let service = scenario.targets.get(due.arrival.target);
        let order = Order {
            deadline: Duration::from_millis(if kind == Kind::Archive { 20_000 } else { 3_000 }),
            id: format!("{}-{}", scenario.seed, due.index),
            once: kind == Kind::Payment,
            path: path(kind).to_owned(),
            service: service
                .map(|target| target.name.clone())
                .unwrap_or_default(),
            work: due.arrival.work,
        };
        let late = due.planned.elapsed();
        let reply = caller.call(&order);
        all.push(Done {
            id: order.id,
            kind,
            late,
            measured: due.planned >= warm,
            reply,
            took: due.planned.elapsed(),
        });
    }
    all
}

fn path(kind: Kind) -> &'static str {
    match kind {
        Kind::Archive => "/archive",
        Kind::Payment => "/pay",
        Kind::Read => "/read",
    }
}

fn used(fleet: &Fleet) -> Result<Used, StandinError> {
    Ok(Used {
        at: Instant::now(),
        counts: fleet.counts()?,
        dumps: fleet.dumps(),
    })
}

fn summarize(
    scenario: &Scenario,
    fleet: &Fleet,
    done: &[Done],
    before: &Used,
    after: &Used,
) -> Result<Report, StandinError> {
    let mut report = Report::default();
    for one in done.iter().filter(|one| one.measured) {
        tally(report.tallies.entry(one.kind).or_default(), one);
    }
    report.doubled = doubled(done, &fleet.runs()?);
    let span = (after.at - before.at).as_secs_f64();
    let difference = |value: fn(&Count) -> u64| {
        let sum = |used: &Used| used.counts.values().map(value).sum::<u64>();
        (sum(after) - sum(before)) as f64
    };
    let ran = difference(|count| count.ran);
    let cancelled = difference(|count| count.cancelled);
    report.cancelled = cancelled as u64;
    report.extra = 100.0 * cancelled / (ran - cancelled).max(1.0);
    let slots: usize = scenario
        .targets
        .iter()
        .map(|target| target.workers * 4)
        .sum();
    let capacity = slots as f64 / scenario.mean.as_secs_f64() * span;
    report.useful = 100.0 * (ran - cancelled) / capacity;
    let counts = after.counts.values();
    report.over = counts.clone().map(|count| count.over).sum();
    report.probes = counts
        .map(|count| count.probes_most)
        .max()
        .unwrap_or_default();
    let each = |key: &str| -> Vec<f64> {
        let pairs = before.dumps.iter().zip(&after.dumps);
        let value = |dump: &Value| dump[key].as_f64().unwrap_or_default();
        pairs
            .map(|(old, new)| (value(new) - value(old)) / span)
            .collect()
    };
    report.cpu = mean_and_most(&each("cpu_ms"), 0.1);
    report.peer = mean_and_most(&each("peer_bytes"), 1.0);
    let memory = after
        .dumps
        .iter()
        .filter_map(|dump| dump["memory_kb"].as_u64());
    report.memory = memory.max().unwrap_or_default();
    report.dials = 1_000.0 * dials(fleet) / done.len().max(1) as f64;
    Ok(report)
}

fn tally(tally: &mut Tally, done: &Done) {
    *tally.ended.entry(ending(done.reply.ended)).or_default() += 1;
    let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    match done.reply.ended {
        Ended::Ran => tally.served.saturating_record(micros(done.took)),
        Ended::NotRun => {
            tally
                .refused
                .saturating_record(micros(done.took.saturating_sub(done.late)));
            tally.rude += u64::from(done.reply.after.is_none());
        }
        Ended::Crossed | Ended::Lost | Ended::Unknown => {}
    }
}

/// At-most-once calls that ran twice, or ran though they were called not run.
fn doubled(done: &[Done], runs: &BTreeMap<String, u64>) -> u64 {
    let wrong = |one: &&Done| {
        let ran = runs.get(&one.id).copied().unwrap_or_default();
        one.kind == Kind::Payment && (ran > 1 || (ran > 0 && one.reply.ended == Ended::NotRun))
    };
    done.iter().filter(wrong).count() as u64
}

fn mean_and_most(values: &[f64], scale: f64) -> (f64, f64) {
    let sum: f64 = values.iter().sum();
    let most = values.iter().copied().fold(0.0, f64::max);
    (sum / values.len().max(1) as f64 * scale, most * scale)
}

/// Connections that were opened to workers while a request waited.
fn dials(fleet: &Fleet) -> f64 {
    let addresses = fleet
        .daemons
        .iter()
        .filter_map(|seat| seat.process.as_ref());
    let addresses = addresses.filter_map(|process| process.address("operators").ok());
    let read = |address: SocketAddr| {
        let response = attohttpc::get(format!("http://{address}/metrics"))
            .send()
            .ok()?;
        let text = response.text().ok()?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("anvilferry_dials_total "))?;
        line.parse::<f64>().ok()
    };
    addresses.filter_map(read).sum()
}
