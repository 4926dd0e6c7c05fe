//! Calls that go on beside failures, and the judgement of what became of them.

use {
    crate::{
        StandinError,
        caller::{Caller, Ended, Order},
        demo,
        fleet::Fleet,
        mood::Mood,
        platform::Faults,
    },
    nix::sys::signal::Signal,
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const PATIENCE: Duration = Duration::from_secs(20);
const LONG: Duration = Duration::from_secs(30);

/// What a caller knows of its call: whether it ran at most once, and its end.
type Known = BTreeMap<String, (bool, Ended)>;

/// Calls of several callers, each insisting until it knows.
pub struct Calls {
    served: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Known>>,
}

/// What became of all calls.
#[derive(Clone, Debug, Default)]
pub struct Judgement {
    /// Answers that belonged to another request or weren't whole.
    pub crossed: u64,
    /// At-most-once calls that ran twice, or ran though they were called not run.
    pub doubled: u64,
    /// Calls that ended without the answer that they could have had, or whose answer is false.
    pub lost: u64,
    /// Times at which a cold worker held more than it bore.
    pub over: u64,
    /// The most measuring requests that a worker got in a second.
    pub probes: u64,
    /// Calls served.
    pub served: u64,
    /// At-most-once calls whose outcome stayed unknown.
    pub unknown: u64,
}

/// The measuring budget of the demonstration's service, which all fleets here have.
const PROBES: u64 = 20;

impl Judgement {
    /// Every promise that was broken.
    pub fn faults(&self) -> Vec<String> {
        let promises = [
            ("crossed answers", self.crossed, 0),
            ("doubled runs", self.doubled, 0),
            ("lost calls", self.lost, 0),
            ("times a cold worker held too much", self.over, 0),
            ("measuring requests in a second", self.probes, PROBES),
        ];
        let broken = promises.iter().filter(|(_, value, bound)| value > bound);
        broken
            .map(|(what, value, bound)| format!("{value} {what}, at most {bound} allowed"))
            .collect()
    }
}

impl Calls {
    /// Starts `callers` callers, whose calls are drawn from `seed`.
    pub fn start(fleet: &Fleet, callers: u64, seed: u64) -> Self {
        let (served, stop) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let threads = (0..callers)
            .map(|number| {
                let (served, stop) = (Arc::clone(&served), Arc::clone(&stop));
                let caller = Caller::new(fleet.callers(), seed ^ number);
                thread::spawn(move || call(caller, seed, number, &stop, &served))
            })
            .collect();
        Self {
            served,
            stop,
            threads,
        }
    }

    /// Calls served so far.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// The requests that a data centre's workers have begun to run.
    ///
    /// # Errors
    /// Fails where a stand-in doesn't answer.
    pub fn work_in(&self, fleet: &Fleet, centre: &str) -> Result<u64, StandinError> {
        work_in(fleet, centre)
    }

    /// Ends the calls and judges them by the workers' log.
    ///
    /// # Errors
    /// Fails where a stand-in doesn't answer.
    pub fn judge(self, fleet: &Fleet) -> Result<Judgement, StandinError> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self
            .threads
            .into_iter()
            .filter_map(|thread| thread.join().ok());
        let all: Known = ended.flatten().collect();
        let runs = fleet.runs()?;
        let mut judgement = Judgement::default();
        for (id, (once, ended)) in &all {
            let ran = runs.get(id).copied().unwrap_or_default();
            judgement.add(*once, *ended, ran);
        }
        for count in fleet.counts()?.into_values() {
            judgement.over += count.over;
            judgement.probes = judgement.probes.max(count.probes_most);
        }
        Ok(judgement)
    }
}

impl Judgement {
    fn add(&mut self, once: bool, ended: Ended, ran: u64) {
        self.doubled += u64::from(once && (ran > 1 || (ended == Ended::NotRun && ran > 0)));
        match ended {
            Ended::Crossed => self.crossed += 1,
            Ended::Ran if once && ran == 0 => self.lost += 1,
            Ended::Ran => self.served += 1,
            Ended::Unknown | Ended::Lost if once => self.unknown += 1,
            Ended::Unknown | Ended::Lost | Ended::NotRun => self.lost += 1,
        }
    }
}

fn call(
    mut caller: Caller,
    seed: u64,
    number: u64,
    stop: &AtomicBool,
    served: &AtomicU64,
) -> Known {
    let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + number);
    let mut all = Known::new();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let once = count % 4 == 0;
        let order = Order {
            deadline: Duration::from_millis(2_000),
            id: format!("call-{seed}-{number}-{count}"),
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

/// The requests that a data centre's workers have begun to run.
pub(crate) fn work_in(fleet: &Fleet, centre: &str) -> Result<u64, StandinError> {
    let counts = fleet.counts()?;
    let own = counts
        .iter()
        .filter(|(worker, _)| fleet.worker_centre(worker) == centre);
    Ok(own.map(|(_, count)| count.ran).sum())
}

/// A failure that can be combined with others.
#[derive(Clone, Copy, Debug)]
enum Failure {
    ColdWorkers,
    Freeze,
    Kill,
    LostAnswers,
    Move,
    PlatformDown,
    Silence,
    Stall,
}

const FAILURES: [Failure; 8] = [
    Failure::ColdWorkers,
    Failure::Freeze,
    Failure::Kill,
    Failure::LostAnswers,
    Failure::Move,
    Failure::PlatformDown,
    Failure::Silence,
    Failure::Stall,
];

/// Runs two failures at once, chosen by `seed`, under calls, then undoes them.
///
/// # Errors
/// Fails where the fleet can't be started or doesn't recover.
pub fn pair(seed: u64) -> Result<Judgement, StandinError> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let first = FAILURES[seed as usize % FAILURES.len()];
    let others = FAILURES
        .iter()
        .enumerate()
        .filter(|(at, _)| *at != seed as usize % FAILURES.len());
    let others: Vec<Failure> = others.map(|(_, failure)| *failure).collect();
    let second = rng.choice(others).unwrap_or(first);
    let mut fleet = Fleet::start(demo::plan())?;
    let calls = Calls::start(&fleet, 6, seed);
    wait_served(&fleet, &calls, 100)?;
    inflict(&mut fleet, first, &mut rng)?;
    inflict(&mut fleet, second, &mut rng)?;
    wait_served(&fleet, &calls, 100)?;
    repair(&mut fleet)?;
    wait_served(&fleet, &calls, 100)?;
    calls.judge(&fleet)
}

fn wait_served(fleet: &Fleet, calls: &Calls, more: u64) -> Result<(), StandinError> {
    let goal = calls.served() + more;
    fleet.wait("calls to be served", LONG, |_| calls.served() >= goal)
}

fn inflict(
    fleet: &mut Fleet,
    failure: Failure,
    rng: &mut fastrand::Rng,
) -> Result<(), StandinError> {
    let workers = fleet.workers("submissions");
    match failure {
        Failure::ColdWorkers => {
            for worker in workers.iter().take(4) {
                fleet.restart(worker)?;
            }
        }
        Failure::Freeze => fleet.signal(rng.usize(0..3), Signal::SIGSTOP),
        Failure::Kill => fleet.kill(rng.usize(0..3)),
        Failure::LostAnswers => fleet.faults(&Faults {
            lose: 3,
            slow_ms: 100,
            ..Faults::default()
        })?,
        Failure::Move => drop(fleet.tool(&["--timeout", "1", "dc", "out", "cascade-c"])?),
        Failure::PlatformDown => fleet.faults(&Faults {
            down: true,
            ..Faults::default()
        })?,
        Failure::Silence => {
            let mute = Mood {
                mute: true,
                ..Mood::default()
            };
            for worker in workers.iter().take(2) {
                fleet.mood(worker, &mute)?;
            }
        }
        Failure::Stall => {
            let stall = Mood {
                stall_ms: 700,
                ..Mood::default()
            };
            for worker in workers.iter().take(3) {
                fleet.mood(worker, &stall)?;
            }
        }
    }
    Ok(())
}

fn repair(fleet: &mut Fleet) -> Result<(), StandinError> {
    fleet.faults(&Faults::default())?;
    for index in 0..fleet.daemons.len() {
        fleet.signal(index, Signal::SIGCONT);
        if fleet
            .daemons
            .get(index)
            .is_some_and(|seat| seat.process.is_none())
        {
            fleet.revive(index)?;
        }
    }
    fleet.put_list()?;
    for worker in fleet.workers("submissions") {
        fleet.mood(&worker, &Mood::default())?;
    }
    fleet.tool(&["dc", "in", "cascade-c"])?;
    Ok(())
}

/// Runs pairs of failures for `seeds` seeds from `seed` on, and gives the lines to print.
///
/// # Errors
/// Fails where a pair does.
pub fn run(seed: u64, seeds: u64) -> Result<(String, bool), StandinError> {
    let mut text = String::new();
    let mut good = true;
    for seed in seed..seed + seeds {
        let judgement = pair(seed)?;
        let faults = judgement.faults();
        good &= faults.is_empty();
        text += &format!(
            "seed {seed}: {} served, {} lost, {} doubled, {} crossed, {} unknown, {} over, {} probes {}\n",
            judgement.served,
            judgement.lost,
            judgement.doubled,
            judgement.crossed,
            judgement.unknown,
            judgement.over,
            judgement.probes,
            faults.join("; "),
        );
    }
    Ok((text, good))
}
