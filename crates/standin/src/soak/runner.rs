//! The course of a soak: faults at random times, then the recovery and the checks.

use {
    crate::{
        caller::Caller,
        error::StandinError,
        fleet::{Fleet, FleetPlan},
        key_ring::KeyRing,
        outcome::Outcome,
        soak::{
            callers::{TimedResult, run_caller},
            fault::Fault,
            record::Observations,
            replacements::{Replacement, Replacements},
            report::{History, SoakReport, check},
            rollouts::{self, RolloutPlay},
        },
        store::StoreFault,
    },
    fastrand::Rng,
    std::{
        collections::HashMap,
        fs::File,
        io::BufWriter,
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
    wire::Target,
};

/// The data centres of the fleet.
pub(crate) const CENTRES: [&str; 3] = ["a", "b", "c"];
/// The client accounts of a soak with accounts.
const ACCOUNTS: usize = 6;
const CALLERS: usize = 18;
/// The time that a worker takes for a request.
pub(crate) const WORK_TIME: Duration = Duration::from_millis(20);
const MIN_WORKERS: usize = 9;
/// Large fleets have one worker per this many daemons; with fewer workers, there are too few health
/// probes and permits for cold workers for all daemons to get some.
const DAEMONS_PER_WORKER: usize = 8;
/// Timeout for a fleet to serve everything again once all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Seeds that are multiples of this number run strict soaks, without faults that delay the
/// propagation of the store's changes.
const STRICT_INTERVAL: u64 = 3;
/// In soaks with cuts, restores, downloads, notices or silences, one fault in this many is of that kind.
const EXTRA_INTERVAL: u32 = 5;
/// The same in soaks in which answers, entries and connections are spoiled.
const SPOIL_INTERVAL: u32 = 2;
/// How old the copy of the store is, in soaks with spoils, that answers calls which allow that.
const COPY_AGE: Duration = Duration::from_secs(3);
/// The minimum duration of an evacuation, and of a limit that a worker names.
const MIN_LONG_FAULT: Duration = Duration::from_secs(7);
/// How often the runner checks whether a fault is due to begin or end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The number of lines of a daemon's log that an error contains.
const MAX_LOG_LINES: usize = 20;
/// How long callers go on after the recovery, when every request must be served.
const FINAL_CHECK: Duration = Duration::from_secs(1);

/// The parameters of a soak.
#[derive(Clone, Debug)]
pub struct Soak {
    /// Whether requests need keys of client accounts, which change now and then.
    pub accounts: bool,
    /// The number of daemons.
    pub daemons: usize,
    /// Whether daemons are cut off from all workers now and then.
    pub cuts: bool,
    /// Whether workers send large responses and cut them short now and then.
    pub downloads: bool,
    /// Whether workers say now and then that they leave, ask to back off or name a limit.
    pub notices: bool,
    /// The path of the program of an earlier build. The fleet starts with it; its daemons are replaced
    /// one after the other by those of `program`, and back again.
    pub production: Option<PathBuf>,
    /// The path of the daemon's program.
    pub program: PathBuf,
    /// The file that the record of the run is written to, if any.
    pub record: Option<PathBuf>,
    /// Whether the store comes back from older copies now and then.
    pub restores: bool,
    /// Whether the store is silent now and then, on connections that stay open.
    pub silences: bool,
    /// Whether workers send damaged and endless responses, other writers leave odd entries, and waiting
    /// connections to the store go silent now and then.
    pub spoils: bool,
    /// Whether a version of the service is rolled out, every second time a bad one. Not to be used
    /// with `restores` or `production`.
    pub rollouts: bool,
    /// The seed of the random faults.
    pub seed: u64,
    /// The period in which faults begin.
    pub duration: Duration,
}

/// A fault in progress.
pub(crate) struct ActiveFault {
    pub(crate) began: Instant,
    pub(crate) ends: Instant,
    pub(crate) fault: Fault,
    /// The worker to restore when the fault ends, if any.
    pub(crate) worker: Option<Name>,
}

/// A soak in progress.
pub(crate) struct Runner {
    pub(crate) active: Vec<ActiveFault>,
    /// The requests that checked whether the fleet had recovered.
    checks: Vec<TimedResult>,
    /// The data centre of each worker, including workers that have been replaced.
    pub(crate) centres: HashMap<Name, &'static str>,
    pub(crate) fleet: Fleet,
    pub(crate) history: History,
    /// Chooses among keys, apart from `rng`, so that seeds keep their faults.
    pub(crate) key_rng: Rng,
    /// The keys of the client accounts; none if there are no accounts.
    pub(crate) keys: KeyRing,
    /// The number in the id of the next worker.
    pub(crate) next_worker: usize,
    /// The replacements of daemons by those of another build, if there are two.
    pub(crate) replacements: Option<Replacements>,
    /// Whether faults that delay the propagation of the store's changes are left out, so that the
    /// bounds on the propagation time are checked all the time.
    strict: bool,
    /// Whether daemons are cut off from all workers now and then.
    cuts: bool,
    /// Whether workers send large responses and cut them short now and then.
    downloads: bool,
    /// Whether workers say now and then that they leave, ask to back off or name a limit.
    notices: bool,
    /// Whether the store is silent now and then.
    silences: bool,
    /// Whether answers, entries and connections are spoiled now and then.
    spoils: bool,
    /// Whether the store comes back from older copies now and then.
    restores: bool,
    /// The file that the record of the run is written to, if any.
    record: Option<PathBuf>,
    rng: Rng,
    /// The rollout of a version, if there is one.
    rollout: Option<RolloutPlay>,
    /// The version of the configuration published last.
    pub(crate) version: u64,
}

impl Soak {
    /// Runs the soak.
    ///
    /// # Errors
    /// Fails if a stand-in fails, a daemon doesn't start or stop in time, or the fleet doesn't
    /// recover.
    pub fn run(&self) -> Result<SoakReport, StandinError> {
        let first = self.production.as_ref().unwrap_or(&self.program);
        let mut plan = FleetPlan::new(first);
        plan.daemon_centres = CENTRES.iter().copied().cycle().take(self.daemons).collect();
        let workers = MIN_WORKERS.max(self.daemons / DAEMONS_PER_WORKER);
        plan.worker_centres = CENTRES.iter().copied().cycle().take(workers).collect();
        plan.proxied = true;
        plan.work_time = WORK_TIME;
        plan.rollouts = self.rollouts.then_some(rollouts::BOUNDS);
        let fleet = Fleet::start(&plan)?;
        if self.spoils {
            fleet.store.set_copy_age(COPY_AGE);
        }
        let workers = fleet.workers.iter().zip(CENTRES.iter().cycle());
        let mut runner = Runner {
            active: Vec::new(),
            checks: Vec::new(),
            centres: workers
                .map(|(worker, centre)| (worker.entry.id.clone(), *centre))
                .collect(),
            history: History::default(),
            key_rng: Rng::with_seed(self.seed),
            keys: KeyRing::new(if self.accounts { ACCOUNTS } else { 0 }),
            next_worker: fleet.workers.len(),
            replacements: self.production.clone().map(|production| {
                Replacements::new(
                    production,
                    self.program.clone(),
                    self.daemons,
                    self.duration,
                    // Not the generator of the faults, so that seeds keep these.
                    &mut Rng::with_seed(self.seed),
                )
            }),
            strict: !self.restores && self.seed.is_multiple_of(STRICT_INTERVAL),
            downloads: self.downloads,
            cuts: self.cuts,
            notices: self.notices,
            silences: self.silences,
            spoils: self.spoils,
            restores: self.restores,
            record: self.record.clone(),
            rng: Rng::with_seed(self.seed),
            rollout: None,
            version: 1,
            fleet,
        };
        if self.rollouts {
            // Not the generator of the faults, so that seeds keep these.
            let mut rng = Rng::with_seed(self.seed);
            let play = RolloutPlay::begin(&runner.fleet, &mut runner.centres, &mut rng)?;
            runner.rollout = Some(play);
        }
        if self.accounts {
            runner.version += 1;
            let (config, keys) = runner.keys.config(runner.version);
            runner.fleet.store.put_config_with(&config, &keys);
            runner.fleet.wait_config(runner.version)?;
        }
        runner.run(self.duration)
    }
}

impl Runner {
    /// Runs callers while faults begin and end, then checks what they and the workers recorded.
    fn run(&mut self, duration: Duration) -> Result<SoakReport, StandinError> {
        let began = Instant::now();
        let stop = AtomicBool::new(false);
        let (results, requests) = mpsc::channel();
        let size = self.fleet.size();
        let directories: Vec<SocketAddrV4> = (0..size).map(|i| self.fleet.directory(i)).collect();
        let mut faults = Vec::new();
        let mut recovered = Instant::now();
        thread::scope(|scope| {
            for at in 0..CALLERS {
                let (results, stop, directories) = (results.clone(), &stop, &directories);
                let centre = CENTRES[at % CENTRES.len()];
                let keys = self.keys.clone();
                scope.spawn(move || {
                    run_caller(
                        &format!("c{at}"),
                        centre,
                        directories,
                        &keys,
                        stop,
                        &results,
                    )
                });
            }
            let result = self
                .inject_faults(duration, &mut faults)
                .and_then(|()| self.recover());
            recovered = Instant::now();
            thread::sleep(FINAL_CHECK);
            stop.store(true, Ordering::Relaxed);
            result
        })?;
        drop(results);
        let mut requests: Vec<TimedResult> = requests.iter().collect();
        requests.append(&mut self.checks);
        let indices = (0..size).map(|i| (self.fleet.address(i), i)).collect();
        let memory: Result<Vec<u64>, StandinError> =
            (0..size).map(|at| self.fleet.peak_memory(at)).collect();
        let memory = memory?;
        let seen = Observations {
            centres: &self.centres,
            began,
            history: &self.history,
            indices: &indices,
            memory: &memory,
            log: &self.fleet.executions,
            requests: &requests,
        };
        let record = seen.record();
        if let Some(path) = &self.record {
            let file = BufWriter::new(File::create(path)?);
            record.write(file)?;
        }
        let mut report = check(&seen, &record, &self.keys.terms());
        let unserved = requests.iter().filter(|request| {
            request.began > recovered
                && request.result.outcome != Outcome::Served
                && self.has_valid_key(request)
        });
        report.violations.extend(unserved.map(|request| {
            let why = self.explain(&request.result.id, indices.get(&request.result.daemon));
            format!("not served after the recovery: {request:?}; {why}")
        }));
        report.faults = faults;
        if let Some(rollout) = &self.rollout {
            let executions = self.fleet.executions.entries();
            let violations = rollout.violations(&executions, &self.history);
            report.violations.extend(violations);
            report.rollout = Some(rollout.describe());
        }
        if let Some(replacements) = &self.replacements {
            let refusals = replacements.refusals(&self.fleet)?;
            report.refused_in_production = Some((refusals.datagrams, refusals.requests));
            let faults = refusals.faults.into_iter();
            let faults = faults.map(|line| format!("a message may not be refused: {line}"));
            report.violations.extend(faults);
        }
        Ok(report)
    }

    /// What a daemon logged of a request, if it can still be asked.
    fn explain(&self, id: &str, daemon: Option<&usize>) -> String {
        let page = Target::new("/explain").param("id", id);
        let text = daemon.and_then(|at| self.fleet.operators_page(*at, page.as_str()).ok());
        text.unwrap_or_else(|| "its daemon doesn't tell".to_owned())
    }

    /// Whether a request has the key that it needs, if it needs one.
    fn has_valid_key(&self, request: &TimedResult) -> bool {
        let terms = self.keys.terms();
        let mut in_force = terms.iter().filter(|term| term.dropped.is_none());
        terms.is_empty() || in_force.any(|term| Some(&term.key) == request.result.key.as_ref())
    }

    /// Begins random faults at random times over `duration`, and ends those that expire meanwhile.
    /// Goes on until all replacements of daemons have begun.
    fn inject_faults(
        &mut self,
        duration: Duration,
        faults: &mut Vec<String>,
    ) -> Result<(), StandinError> {
        let began = Instant::now();
        let mut next = began;
        while began.elapsed() < duration || !self.is_replaced() {
            if let Some(replacement) = self.take_replacement(began.elapsed()) {
                let fault = Fault::Replace(replacement.daemon, replacement.build);
                faults.push(format!("{:.2} {fault:?}", began.elapsed().as_secs_f64()));
                self.begin(fault, replacement.gap)?;
            }
            if Instant::now() >= next && began.elapsed() < duration {
                let fault = self.draw_fault();
                let mut length = Duration::from_millis(self.rng.u64(200..2_500));
                if matches!(fault, Fault::Evacuate(_) | Fault::WorkerLimits(..)) {
                    length += MIN_LONG_FAULT;
                }
                faults.push(format!("{:.2} {fault:?}", began.elapsed().as_secs_f64()));
                self.begin(fault, length)?;
                next += Duration::from_millis(self.rng.u64(50..900));
            }
            self.end_expired()?;
            self.watch_rollout();
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn watch_rollout(&mut self) {
        if let Some(rollout) = &mut self.rollout {
            rollout.watch(&self.fleet);
        }
    }

    fn is_replaced(&self) -> bool {
        let replacements = self.replacements.as_ref();
        replacements.is_none_or(Replacements::is_done)
    }

    /// The replacement of a daemon that is to begin now. One daemon is replaced at a time.
    fn take_replacement(&mut self, elapsed: Duration) -> Option<Replacement> {
        let mut replacements = self.replacements.take()?;
        let mut active = self.active.iter();
        let replacing = active.any(|active| matches!(active.fault, Fault::Replace(..)));
        let may_begin = |daemon| !replacing && self.is_undisturbed(daemon);
        let due = replacements.take_due(elapsed, may_begin);
        self.replacements = Some(replacements);
        due
    }

    /// Draws a fault that may begin now.
    fn draw_fault(&mut self) -> Fault {
        if self.cuts && self.rng.u32(..EXTRA_INTERVAL) == 0 {
            return Fault::draw_cut(&mut self.rng);
        }
        if self.restores && self.rng.u32(..EXTRA_INTERVAL) == 0 {
            return Fault::Restore;
        }
        if self.downloads && self.rng.u32(..EXTRA_INTERVAL) == 0 {
            return Fault::WorkerCutsDownloads(self.rng.usize(..1_000));
        }
        if self.notices && self.rng.u32(..EXTRA_INTERVAL) == 0 {
            return Fault::draw_notice(&mut self.rng);
        }
        if self.silences && self.rng.u32(..EXTRA_INTERVAL) == 0 {
            return Fault::Store(StoreFault::Silent);
        }
        if self.spoils && self.rng.u32(..SPOIL_INTERVAL) == 0 {
            let fault = Fault::draw_spoil(&mut self.rng);
            if !(self.strict && fault.delays_propagation()) {
                return fault;
            }
        }
        loop {
            let fault = Fault::draw(&mut self.rng);
            let excluded = self.strict && fault.delays_propagation();
            if !excluded && !self.is_evacuated(fault) {
                return fault;
            }
        }
    }

    /// Returns whether a fault evacuates a data centre that is already evacuated.
    fn is_evacuated(&self, fault: Fault) -> bool {
        let Fault::Evacuate(index) = fault else {
            return false;
        };
        let size = CENTRES.len();
        self.active.iter().any(|active| match active.fault {
            Fault::Evacuate(other) => other % size == index % size,
            _ => false,
        })
    }

    /// Ends all faults and waits until the daemons are ready and serve everything.
    fn recover(&mut self) -> Result<(), StandinError> {
        // The end of a fault may begin another.
        while let Some(active) = self.active.pop() {
            self.end(&active)?;
        }
        while self.rollout.as_ref().is_some_and(|play| !play.is_over()) {
            self.watch_rollout();
            thread::sleep(POLL_INTERVAL);
        }
        for index in 0..self.fleet.size() {
            self.fleet.wait_ready(index)?;
        }
        self.wait_served()
    }

    /// Waits until every daemon has served a read and a write several times in a row. A failure
    /// after `RECOVERY_TIMEOUT` is an error; the successes may take longer, as they do in a large
    /// fleet.
    fn wait_served(&mut self) -> Result<(), StandinError> {
        const ROUNDS: usize = 4;
        let mut caller = Caller::new("heal", Span::secs(1));
        caller.key = self.keys.valid(&mut Rng::with_seed(0));
        let end = Instant::now() + RECOVERY_TIMEOUT;
        let mut successes = 0;
        while successes < ROUNDS * self.fleet.size() {
            let index = successes % self.fleet.size();
            let failed = ["/pictures/1", "/payouts/1"]
                .iter()
                .zip(["GET", "POST"])
                .map(|(path, method)| {
                    let began = Instant::now();
                    let result = self.fleet.send(&mut caller, index, method, path);
                    let timed = TimedResult {
                        result: result.clone(),
                        began,
                        write: method == "POST",
                    };
                    self.checks.push(timed);
                    result
                })
                .find(|result| result.outcome != Outcome::Served);
            successes = if failed.is_none() { successes + 1 } else { 0 };
            if let Some(result) = failed.filter(|_| Instant::now() >= end) {
                let log = self.fleet.log(index)?;
                let last: Vec<&str> = log.lines().rev().take(MAX_LOG_LINES).collect();
                let text = format!(
                    "daemon {index} still fails: {result:?}; its log, newest line first: {}",
                    last.join("\n")
                );
                return Err(StandinError::Timeout(text));
            }
        }
        Ok(())
    }

    fn end_expired(&mut self) -> Result<(), StandinError> {
        let now = Instant::now();
        while let Some(at) = self.active.iter().position(|active| active.ends <= now) {
            let active = self.active.remove(at);
            self.end(&active)?;
        }
        Ok(())
    }

    /// Returns whether no fault in progress kills, pauses or stops a daemon's process.
    pub(crate) fn is_undisturbed(&self, daemon: usize) -> bool {
        let size = self.fleet.size();
        !self.active.iter().any(|active| match active.fault {
            Fault::Kill(index)
            | Fault::Pause(index)
            | Fault::Replace(index, _)
            | Fault::Term(index) => index % size == daemon,
            _ => false,
        })
    }
}
