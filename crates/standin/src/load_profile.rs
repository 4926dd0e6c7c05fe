//! Open-loop load: requests begin at their planned times, whether or not earlier ones have ended.

use {
    crate::{
        caller::{Attempt, Caller},
        config::{READ_PREFIX, WRITE_PREFIX},
        fleet::Fleet,
        outcome::Outcome,
    },
    hdrhistogram::Histogram,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::Write,
        net::SocketAddrV4,
        sync::mpsc,
        thread,
        time::{Duration, Instant},
    },
    unit::Span,
};

/// Callers that send at the same time at most.
const CALLERS: usize = 64;
/// The longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// How much load, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// How long a caller waits.
    pub deadline: Span,
    /// How long the load lasts.
    pub duration: Duration,
    /// Requests a second.
    pub rate: f64,
    /// The part of the requests that may run at most once.
    pub write_share: f64,
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct Report {
    /// Every request, with whether it may run at most once.
    pub attempts: Vec<(Attempt, bool)>,
    /// Requests that may run at most once and ran more than once.
    pub duplicates: u64,
    /// Requests that were called not run and ran.
    pub false_refusals: u64,
}

impl LoadProfile {
    /// Plays the load on some daemons of a fleet.
    pub fn run(&self, fleet: &Fleet, daemons: &[usize]) -> Report {
        let addresses: Vec<SocketAddrV4> = daemons.iter().map(|at| fleet.address(*at)).collect();
        let (done, attempts) = mpsc::channel();
        thread::scope(|scope| {
            for at in 0..CALLERS {
                let (done, addresses) = (done.clone(), &addresses);
                scope.spawn(move || self.call(at, addresses, &done));
            }
        });
        drop(done);
        let attempts: Vec<(Attempt, bool)> = attempts.iter().collect();
        judge(attempts, &fleet.executions.counts())
    }

    fn call(&self, at: usize, addresses: &[SocketAddrV4], done: &mpsc::Sender<(Attempt, bool)>) {
        let began = Instant::now();
        let gap = Duration::from_secs_f64(CALLERS as f64 / self.rate);
        let mut caller = Caller::new(&format!("c{at}-{}", fastrand::u32(..)), self.deadline);
        let mut next = gap.mul_f64(at as f64 / CALLERS as f64);
        while next < self.duration {
            thread::sleep(next.saturating_sub(began.elapsed()));
            let write = fastrand::f64() < self.write_share;
            let (method, path) = if write {
                ("POST", WRITE_PREFIX)
            } else {
                ("GET", READ_PREFIX)
            };
            let address = addresses[fastrand::usize(..addresses.len())];
            let attempt = caller.send(address, method, &format!("{path}1"));
            if done.send((attempt, write)).is_err() {
                return;
            }
            next += gap;
        }
    }
}

impl Report {
    /// How many requests ended in some way.
    pub fn count(&self, outcome: Outcome) -> usize {
        let same = |(attempt, _): &&(Attempt, bool)| attempt.outcome == outcome;
        self.attempts.iter().filter(same).count()
    }

    /// The report as lines of text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut groups: BTreeMap<Outcome, Vec<Duration>> = BTreeMap::new();
        for (attempt, _) in &self.attempts {
            groups
                .entry(attempt.outcome)
                .or_default()
                .push(attempt.elapsed);
        }
        for (outcome, times) in groups {
            let (median, high) = quantiles(&times);
            // Writing to a string never fails.
            let _ = writeln!(
                text,
                "{outcome:?}: {}, median {median:.1} ms, p99 {high:.1} ms",
                times.len()
            );
        }
        let _ = writeln!(
            text,
            "doubled: {}, called not run and ran: {}",
            self.duplicates, self.false_refusals
        );
        text
    }
}

fn quantiles(times: &[Duration]) -> (f64, f64) {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3) else {
        return (0.0, 0.0);
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    (millis(0.5), millis(0.99))
}

fn judge(attempts: Vec<(Attempt, bool)>, counts: &HashMap<String, u32>) -> Report {
    let ran = |attempt: &Attempt| counts.get(&attempt.id).copied().unwrap_or_default();
    let duplicates = attempts
        .iter()
        .filter(|(attempt, write)| *write && ran(attempt) > 1);
    let false_refusals = attempts.iter().filter(|(attempt, write)| {
        *write && attempt.outcome == Outcome::NotRun && ran(attempt) > 0
    });
    Report {
        duplicates: duplicates.count() as u64,
        false_refusals: false_refusals.count() as u64,
        attempts,
    }
}
