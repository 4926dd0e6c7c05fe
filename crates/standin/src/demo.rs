//! The demonstration behind `./demo`.

use {
    crate::{
        StandinError,
        caller::{Caller, Ended, Order},
        fleet::{Fleet, Plan, ServicePlan},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const CALLERS: u64 = 8;
const PATIENCE: Duration = Duration::from_secs(10);
/// How long no new work may still reach a data centre that was taken out.
const OUT: Duration = Duration::from_secs(3);

/// The sample service of the demonstration.
pub const GALLERY: &str = "\
[service]
name = submissions
entries = 3
probes = 20
slots = 4

[class payouts]
methods = POST
path = /payouts
kind = at-most-once
priority = interactive
deadline_ms = 2000

[class gallery]
methods = GET HEAD
kind = idempotent
priority = interactive
deadline_ms = 2000
";

/// A fleet of three daemons and eight workers in four data centres.
pub fn plan() -> Plan {
    let centres = ["cascade-a", "cascade-b", "cascade-c", "cascade-d"];
    Plan {
        centres: centres.map(str::to_owned).to_vec(),
        daemons: 3,
        limits: "answer_age_ms = 500".to_owned(),
        policy: "lease".to_owned(),
        services: vec![ServicePlan {
            file: GALLERY.to_owned(),
            name: "submissions".to_owned(),
            workers: 8,
        }],
    }
}

/// Calls that go on beside what is shown.
struct Traffic {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<BTreeMap<String, (bool, Ended)>>>,
}

impl Traffic {
    fn start(daemons: &[SocketAddr], served: &Arc<AtomicU64>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS)
            .map(|number| {
                let (stop, served) = (Arc::clone(&stop), Arc::clone(served));
                let caller = Caller::new(daemons.to_vec(), number);
                thread::spawn(move || calls(caller, number, &stop, &served))
            })
            .collect();
        Self { stop, threads }
    }

    fn end(self) -> BTreeMap<String, (bool, Ended)> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .flatten()
            .collect()
    }
}

fn calls(
    mut caller: Caller,
    number: u64,
    stop: &AtomicBool,
    served: &AtomicU64,
) -> BTreeMap<String, (bool, Ended)> {
    let mut rng = fastrand::Rng::with_seed(number);
    let mut all = BTreeMap::new();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let once = count % 4 == 0;
        let order = Order {
            deadline: Duration::from_millis(2_000),
            id: format!("demo-{number}-{count}"),
            once,
            path: if once { "/payouts" } else { "/gallery" }.to_owned(),
            service: "submissions".to_owned(),
            work: Duration::from_micros(rng.u64(1_000..20_000)),
        };
        let ended = caller.insist(&order, PATIENCE).ended;
        served.fetch_add(u64::from(ended == Ended::Ran), Ordering::Relaxed);
        all.insert(order.id, (once, ended));
        thread::sleep(Duration::from_millis(rng.u64(0..10)));
    }
    all
}

/// Runs the demonstration; says whether nothing was lost or doubled.
///
/// # Errors
/// Fails where the fleet can't be started or a step doesn't come about.
pub fn run() -> Result<bool, StandinError> {
    println!("starting a platform, 8 workers in 4 data centres and 3 daemons");
    let mut fleet = Fleet::start(plan())?;
    println!("serving reads and payments");
    let served = Arc::new(AtomicU64::new(0));
    let traffic = Traffic::start(&fleet.callers(), &served);
    thread::sleep(Duration::from_secs(2));
    println!("  {} calls served so far", served.load(Ordering::Relaxed));
    let quiet = take_out_and_in(&fleet, &served)?;
    println!("killing daemon entry-01");
    fleet.kill(1);
    thread::sleep(Duration::from_secs(3));
    println!("  {} calls served so far", served.load(Ordering::Relaxed));
    let all = traffic.end();
    let runs = fleet.runs()?;
    drop(fleet);
    Ok(conclude(&all, &runs) && quiet)
}

fn take_out_and_in(fleet: &Fleet, served: &AtomicU64) -> Result<bool, StandinError> {
    let began = Instant::now();
    let (status, told) = fleet.tool(&["dc", "out", "cascade-b", "--wait"])?;
    println!(
        "taking data centre cascade-b out: {}",
        told.trim().replace('\n', "; ")
    );
    thread::sleep(OUT.saturating_sub(began.elapsed()));
    let before = work_in(fleet, "cascade-b")?;
    thread::sleep(Duration::from_secs(1));
    let after = work_in(fleet, "cascade-b")?;
    println!("  new work there after {OUT:?}: {}", after - before);
    let (back, told) = fleet.tool(&["dc", "in", "cascade-b", "--wait"])?;
    println!("bringing it in: {}", told.trim().replace('\n', "; "));
    thread::sleep(Duration::from_secs(2));
    println!("  new work there: {}", work_in(fleet, "cascade-b")? - after);
    println!("  {} calls served so far", served.load(Ordering::Relaxed));
    Ok(status == 0 && back == 0 && after == before)
}

/// The requests that a data centre's workers have begun to run.
fn work_in(fleet: &Fleet, centre: &str) -> Result<u64, StandinError> {
    let counts = fleet.counts()?;
    let own = counts
        .iter()
        .filter(|(worker, _)| fleet.worker_centre(worker) == centre);
    Ok(own.map(|(_, count)| count.ran).sum())
}

/// Judges by the workers' own log of what ran, and prints the closing line.
fn conclude(all: &BTreeMap<String, (bool, Ended)>, runs: &BTreeMap<String, u64>) -> bool {
    let ran = |id: &str| runs.get(id).copied().unwrap_or_default();
    let count = |which: &dyn Fn(&str, bool, Ended) -> bool| {
        all.iter()
            .filter(|(id, (once, ended))| which(id, *once, *ended))
            .count()
    };
    let served = count(&|_, _, ended| ended == Ended::Ran);
    let unknown = count(&|_, _, ended| ended == Ended::Unknown);
    let lost = count(&|id, once, ended| match ended {
        Ended::Ran => once && ran(id) == 0,
        Ended::NotRun => true,
        Ended::Unknown => !once,
        Ended::Crossed | Ended::Lost => true,
    });
    let doubled =
        count(&|id, once, ended| once && (ran(id) > 1 || (ended == Ended::NotRun && ran(id) > 0)));
    println!("payments whose daemon was killed under them, answered as unknown: {unknown}");
    println!("demo: {served} served, {lost} lost, {doubled} doubled");
    lost == 0 && doubled == 0
}
