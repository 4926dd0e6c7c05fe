use {
    crate::{config::config, execution_log::Execution, outcome::Outcome, soak::callers::Seen},
    std::{
        collections::HashMap,
        fmt::{self, Display, Formatter},
        time::{Duration, Instant},
    },
    unit::Name,
};

/// How long after a fault bounds on how fast news travels are suspended.
pub(crate) const SETTLE: Duration = Duration::from_secs(4);
/// How long a worker that leaves may get work, and a little for the load of the test's own machine.
const DRAIN: Duration = Duration::from_millis(2_300);
/// The same for an evacuated data centre.
const EVACUATION: Duration = Duration::from_millis(5_300);
/// Broken promises that are shown in full.
const SHOWN: usize = 5;
const SECOND: Duration = Duration::from_secs(1);

/// A span of time in which something held.
#[derive(Clone, Debug)]
pub(crate) struct Spell<T> {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
    pub(crate) what: T,
}

/// What the player did and when.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Daemons, by their places, that were killed, stopped or paused.
    pub(crate) harmed: Vec<Spell<usize>>,
    /// Workers that leave, from when the store said so.
    pub(crate) leaving: Vec<(Name, Instant)>,
    /// Evacuated data centres.
    pub(crate) evacuated: Vec<Spell<&'static str>>,
    /// Times in which bounds on how fast news travels are suspended.
    pub(crate) unsettled: Vec<Spell<()>>,
}

/// What a soak found.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Promises that were broken, each with what was seen.
    pub violations: Vec<String>,
    /// The faults, with the seconds from the start at which they began.
    pub faults: Vec<String>,
    /// How many requests ended in each way.
    pub outcomes: HashMap<Outcome, usize>,
}

impl Display for SoakReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut outcomes: Vec<_> = self.outcomes.iter().collect();
        outcomes.sort();
        write!(f, "{} faults, {outcomes:?}", self.faults.len())?;
        for broken in self.violations.iter().take(SHOWN) {
            write!(f, "\n  broken: {broken}")?;
        }
        let more = self.violations.len().saturating_sub(SHOWN);
        if more > 0 {
            write!(f, "\n  and {more} more")?;
        }
        Ok(())
    }
}

/// Judges what callers and workers saw.
pub(crate) fn judge(
    seen: &[Seen],
    runs: &[Execution],
    centres: &HashMap<Name, &'static str>,
    places: &HashMap<std::net::SocketAddrV4, usize>,
    history: &History,
) -> SoakReport {
    let mut verdict = SoakReport::default();
    for one in seen {
        *verdict.outcomes.entry(one.attempt.outcome).or_default() += 1;
    }
    verdict.violations.extend(doubled(seen, runs));
    verdict.violations.extend(unanswered(seen, places, history));
    verdict.violations.extend(overfed(runs));
    verdict.violations.extend(drained(runs, history));
    verdict.violations.extend(evacuated(runs, centres, history));
    verdict
}

fn doubled(seen: &[Seen], runs: &[Execution]) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *counts.entry(&run.request).or_default() += 1;
    }
    let mut broken = Vec::new();
    for one in seen {
        let id = &one.attempt.id;
        let ran = counts.get(id.as_str()).copied().unwrap_or_default();
        if one.write && ran > 1 {
            broken.push(format!("{id} may run once and ran {ran} times"));
        }
        if one.write && ran > 0 && one.attempt.outcome == Outcome::NotRun {
            broken.push(format!("{id} was called not run and ran"));
        }
        if one.attempt.outcome == Outcome::Mixed {
            broken.push(format!("{id} got an answer that isn't its own: {one:?}"));
        }
    }
    broken
}

/// Requests to daemons that nothing was done to, whose connection ended without an answer.
fn unanswered(
    seen: &[Seen],
    places: &HashMap<std::net::SocketAddrV4, usize>,
    history: &History,
) -> Vec<String> {
    let harmed = |one: &Seen| {
        let end = one.began + one.attempt.elapsed;
        history.harmed.iter().any(|spell| {
            places.get(&one.attempt.daemon) == Some(&spell.what)
                && one.began <= spell.to
                && end >= spell.from
        })
    };
    seen.iter()
        .filter(|one| one.attempt.outcome == Outcome::Unanswered && !harmed(one))
        .map(|one| format!("{} got no answer: {one:?}", one.attempt.id))
        .collect()
}

fn overfed(runs: &[Execution]) -> Vec<String> {
    let bound = config(0)
        .services
        .values()
        .map(|service| service.cold_start.rate * 1.5 + 5.0)
        .fold(0.0, f64::max);
    let cold: Vec<&Execution> = runs.iter().filter(|run| run.cold).collect();
    let most = |run: &&Execution| {
        let second = cold.iter().filter(|other| {
            other.worker == run.worker
                && other.began >= run.began
                && other.began - run.began < SECOND
        });
        second.count()
    };
    cold.iter()
        .filter(|run| most(run) as f64 > bound)
        .map(|run| {
            format!(
                "cold worker {} got {} requests in a second",
                run.worker,
                most(run)
            )
        })
        .collect()
}

fn drained(runs: &[Execution], history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for (worker, left) in &history.leaving {
        let late = runs
            .iter()
            .filter(|run| run.worker == *worker && run.began > *left + DRAIN);
        for run in late.filter(|run| settled(history, *left, run.began)) {
            let after = run.began - *left;
            broken.push(format!(
                "{worker} got {} {after:?} after it left",
                run.request
            ));
        }
    }
    broken
}

fn evacuated(
    runs: &[Execution],
    centres: &HashMap<Name, &'static str>,
    history: &History,
) -> Vec<String> {
    let mut broken = Vec::new();
    for spell in &history.evacuated {
        let late = runs.iter().filter(|run| {
            centres.get(&run.worker) == Some(&spell.what)
                && run.began > spell.from + EVACUATION
                && run.began < spell.to
        });
        for run in late.filter(|run| settled(history, spell.from, run.began)) {
            let after = run.began - spell.from;
            let centre = spell.what;
            broken.push(format!(
                "{centre} got {} {after:?} after its evacuation",
                run.request
            ));
        }
    }
    broken
}

/// Whether nothing suspended the bounds from a moment on until another.
fn settled(history: &History, from: Instant, to: Instant) -> bool {
    !history
        .unsettled
        .iter()
        .any(|spell| spell.from <= to && from <= spell.to + SETTLE)
}
