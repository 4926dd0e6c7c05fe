use {
    crate::{
        caller::Caller,
        error::StandinError,
        fleet::{Fleet, FleetPlan},
        outcome::Outcome,
        soak::{
            callers::{Seen, call},
            fault::Fault,
            report::{History, SoakReport, judge},
        },
    },
    fastrand::Rng,
    std::{
        collections::HashMap,
        net::SocketAddrV4,
        path::PathBuf,
        sync::{
            atomic::{AtomicBool, Ordering},
            mpsc,
        },
        thread,
        time::{Duration, Instant},
    },
    unit::{Name, Span},
};

pub(crate) const CENTRES: [&str; 3] = ["a", "b", "c"];
const CALLERS: usize = 18;
pub(crate) const WORK: Duration = Duration::from_millis(20);
const LEAST_WORKERS: usize = 9;
/// Large fleets have one worker for so many daemons: with fewer, health requests and permits for cold workers
/// don't go round.
const DAEMONS_A_WORKER: usize = 8;
/// How long a fleet may take to serve everything once all faults have ended.
const RECOVERY: Duration = Duration::from_secs(15);
/// One seed in so many harms workers alone.
const ORDERLY_ONE_IN: u64 = 3;
/// How long a data centre is evacuated at least.
const EVACUATED: Duration = Duration::from_secs(7);
const STEP: Duration = Duration::from_millis(50);
/// Lines of a daemon's log that are shown where it fails.
const SHOWN_LINES: usize = 20;
/// The time for which callers are watched after the recovery.
const CALM: Duration = Duration::from_secs(1);

/// A soak to be played.
#[derive(Clone, Debug)]
pub struct Soak {
    /// How many daemons.
    pub daemons: usize,
    /// The daemon's program.
    pub program: PathBuf,
    /// What decides the faults.
    pub seed: u64,
    /// How long faults begin.
    pub duration: Duration,
}

/// A fault under way.
pub(crate) struct Active {
    pub(crate) began: Instant,
    pub(crate) ends: Instant,
    pub(crate) fault: Fault,
    /// The worker, for faults of one.
    pub(crate) worker: Option<Name>,
}

pub(crate) struct Player {
    pub(crate) active: Vec<Active>,
    pub(crate) centres: HashMap<Name, &'static str>,
    pub(crate) fleet: Fleet,
    pub(crate) history: History,
    pub(crate) next_worker: usize,
    /// Whether nothing befalls the store and the daemons, so that the bounds on how fast news travel
    /// are judged all the time.
    orderly: bool,
    rng: Rng,
    pub(crate) version: u64,
}

impl Soak {
    /// Plays the soak.
    ///
    /// # Errors
    /// Fails where a stand-in does, or a daemon doesn't start or stop in time.
    pub fn run(&self) -> Result<SoakReport, StandinError> {
        let mut plan = FleetPlan::new(&self.program);
        plan.daemon_centres = CENTRES.iter().copied().cycle().take(self.daemons).collect();
        let workers = LEAST_WORKERS.max(self.daemons / DAEMONS_A_WORKER);
        plan.worker_centres = CENTRES.iter().copied().cycle().take(workers).collect();
        plan.proxied = true;
        plan.work_time = WORK;
        let fleet = Fleet::start(&plan)?;
        let workers = fleet.workers.iter().zip(CENTRES.iter().cycle());
        let mut player = Player {
            active: Vec::new(),
            centres: workers
                .map(|(worker, centre)| (worker.entry.id.clone(), *centre))
                .collect(),
            history: History::default(),
            next_worker: fleet.workers.len(),
            orderly: self.seed.is_multiple_of(ORDERLY_ONE_IN),
            rng: Rng::with_seed(self.seed),
            version: 1,
            fleet,
        };
        player.run(self.duration)
    }
}

impl Player {
    fn run(&mut self, span: Duration) -> Result<SoakReport, StandinError> {
        let stop = AtomicBool::new(false);
        let (told, seen) = mpsc::channel();
        let size = self.fleet.size();
        let directories: Vec<SocketAddrV4> = (0..size).map(|at| self.fleet.directory(at)).collect();
        let mut faults = Vec::new();
        let mut calm = Instant::now();
        thread::scope(|scope| {
            for at in 0..CALLERS {
                let (told, stop, directories) = (told.clone(), &stop, &directories);
                let centre = CENTRES[at % CENTRES.len()];
                scope.spawn(move || call(&format!("c{at}"), centre, directories, stop, &told));
            }
            let result = self.harm(span, &mut faults).and_then(|()| self.heal());
            calm = Instant::now();
            thread::sleep(CALM);
            stop.store(true, Ordering::Relaxed);
            result
        })?;
        drop(told);
        let seen: Vec<Seen> = seen.iter().collect();
        let places = (0..size).map(|at| (self.fleet.address(at), at)).collect();
        let runs = self.fleet.executions.entries();
        let mut verdict = judge(&seen, &runs, &self.centres, &places, &self.history);
        let unserved = seen
            .iter()
            .filter(|one| one.began > calm && one.attempt.outcome != Outcome::Served);
        verdict
            .violations
            .extend(unserved.map(|one| format!("not served after the recovery: {one:?}")));
        verdict.faults = faults;
        Ok(verdict)
    }

    fn harm(&mut self, span: Duration, faults: &mut Vec<String>) -> Result<(), StandinError> {
        let began = Instant::now();
        let mut next = began;
        while began.elapsed() < span {
            if Instant::now() >= next {
                let fault = self.draw();
                let mut length = Duration::from_millis(self.rng.u64(200..2_500));
                if matches!(fault, Fault::Evacuate(_)) {
                    length += EVACUATED;
                }
                faults.push(format!("{:.2} {fault:?}", began.elapsed().as_secs_f64()));
                self.begin(fault, length)?;
                next += Duration::from_millis(self.rng.u64(50..900));
            }
            self.end_due()?;
            thread::sleep(STEP);
        }
        Ok(())
    }

    fn draw(&mut self) -> Fault {
        loop {
            let fault = Fault::draw(&mut self.rng);
            let barred = self.orderly && fault.unsettles();
            if !barred && !self.is_out(fault) {
                return fault;
            }
        }
    }

    /// Whether a fault evacuates a data centre that is out already.
    fn is_out(&self, fault: Fault) -> bool {
        let Fault::Evacuate(at) = fault else {
            return false;
        };
        let size = CENTRES.len();
        self.active.iter().any(|active| match active.fault {
            Fault::Evacuate(other) => other % size == at % size,
            _ => false,
        })
    }

    /// Ends all faults, and waits until everything is served.
    fn heal(&mut self) -> Result<(), StandinError> {
        for active in std::mem::take(&mut self.active) {
            self.end(&active)?;
        }
        for at in 0..self.fleet.size() {
            self.fleet.wait_ready(at)?;
        }
        self.wait_served()
    }

    /// Waits until every daemon has served everything several times in a row. The last failure must come
    /// within the time to recover; asking all of a large fleet may take longer.
    fn wait_served(&self) -> Result<(), StandinError> {
        const ROUNDS: usize = 4;
        let mut caller = Caller::new("heal", Span::secs(1));
        let end = Instant::now() + RECOVERY;
        let mut well = 0;
        while well < ROUNDS * self.fleet.size() {
            let at = well % self.fleet.size();
            let failed = ["/pictures/1", "/payouts/1"]
                .iter()
                .zip(["GET", "POST"])
                .map(|(path, method)| self.fleet.send(&mut caller, at, method, path))
                .find(|attempt| attempt.outcome != Outcome::Served);
            well = if failed.is_none() { well + 1 } else { 0 };
            if let Some(attempt) = failed.filter(|_| Instant::now() >= end) {
                let log = self.fleet.log(at)?;
                let last: Vec<&str> = log.lines().rev().take(SHOWN_LINES).collect();
                let text = format!("daemon {at}: {attempt:?}; its log: {}", last.join("\n"));
                return Err(StandinError::Timeout(text));
            }
        }
        Ok(())
    }

    fn end_due(&mut self) -> Result<(), StandinError> {
        let now = Instant::now();
        while let Some(at) = self.active.iter().position(|active| active.ends <= now) {
            let active = self.active.remove(at);
            self.end(&active)?;
        }
        Ok(())
    }

    /// Whether nothing is being done to a daemon's process.
    pub(crate) fn whole(&self, daemon: usize) -> bool {
        let size = self.fleet.size();
        !self.active.iter().any(|active| match active.fault {
            Fault::Kill(at) | Fault::Pause(at) | Fault::Term(at) => at % size == daemon,
            _ => false,
        })
    }
}
