//! A rollout during a soak: its object, the workers of the new version, and the checks of what
//! reached them.

use {
    crate::{
        config::SERVICE,
        error::StandinError,
        execution_log::Execution,
        fleet::Fleet,
        soak::{
            report::{History, bounds_apply},
            runner::{CENTRES, WORK_TIME},
        },
        upstream::Upstream,
        worker_fault::WorkerFault,
    },
    conf::RolloutBounds,
    fastrand::Rng,
    site::Rollout,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    unit::{Name, Span},
};

/// The limits on rollouts in the daemons' settings.
pub(crate) const BOUNDS: RolloutBounds = RolloutBounds {
    rollback: Span::secs(5),
    share: 0.1,
    slack: 50.0,
};
const DURATION: Span = Span::secs(24);
const WORKERS: usize = 6;
const VERSION: &str = "v2";
/// The bad responses after which the time for the rollback begins.
const BAD_RESPONSES: usize = 50;
/// A margin for a busy test machine.
const MARGIN: Duration = Duration::from_millis(300);

/// A rollout in progress.
pub(crate) struct RolloutPlay {
    began: Instant,
    /// Whether the new version fails all requests.
    is_bad: bool,
    /// The state that a daemon wrote, and when that was seen.
    decided: Option<(Instant, String)>,
    /// The workers of the new version; faults don't concern them.
    workers: Vec<Upstream>,
}

impl RolloutPlay {
    /// Writes the rollout's object and starts the workers of its version, every second time a bad
    /// one.
    pub(crate) fn begin(
        fleet: &Fleet,
        centres: &mut HashMap<Name, &'static str>,
        rng: &mut Rng,
    ) -> Result<Self, StandinError> {
        fleet.store.put_rollout(&Rollout {
            created: 0,
            duration: DURATION,
            name: SERVICE.into(),
            service: SERVICE.into(),
            state: None,
            target: VERSION.into(),
        });
        let is_bad = rng.bool();
        let mut workers = Vec::new();
        for at in 0..WORKERS {
            let id = format!("new-{at}");
            let centre = CENTRES[at % CENTRES.len()];
            let mut worker = Upstream::start(&id, SERVICE, centre, WORK_TIME, &fleet.executions)?;
            worker.entry.version = VERSION.into();
            if is_bad {
                worker.set_fault(WorkerFault::Errors);
            }
            fleet.store.put_worker(&worker.entry);
            centres.insert(worker.entry.id.clone(), centre);
            workers.push(worker);
        }
        Ok(Self {
            began: Instant::now(),
            is_bad,
            decided: None,
            workers,
        })
    }

    /// Notes the state that was written, if it is a final one.
    pub(crate) fn watch(&mut self, fleet: &Fleet) {
        let status = fleet.store.rollout_status(SERVICE);
        let state = status["state"].as_str().unwrap_or_default();
        if self.decided.is_none() && ["completed", "rolled_back"].contains(&state) {
            self.decided = Some((Instant::now(), state.to_owned()));
        }
    }

    /// Whether a final state was written, or the time for it is over.
    pub(crate) fn is_over(&self) -> bool {
        self.decided.is_some() || self.began.elapsed() > Duration::from(DURATION) + MARGIN
    }

    /// How the rollout ended, for the report.
    pub(crate) fn describe(&self) -> String {
        let version = if self.is_bad { "bad" } else { "good" };
        match &self.decided {
            Some((at, state)) => {
                let after = at.duration_since(self.began).as_secs_f64();
                format!("{version} version {state} after {after:.1} s")
            }
            None => format!("{version} version not decided"),
        }
    }

    /// What broke the limits on a bad version, and requests to old workers after the new version
    /// was completed.
    pub(crate) fn violations(&self, executions: &[Execution], history: &History) -> Vec<String> {
        let is_new = |run: &&Execution| {
            let mut new = self.workers.iter();
            new.any(|worker| worker.entry.id == run.worker)
        };
        let mut violations = Vec::new();
        let decided = self.decided.as_ref();
        if self.is_bad {
            violations.extend(self.overexposed(executions, is_new));
            violations.extend(used_after_rollback(executions, is_new, history));
            if decided.is_some_and(|(_, state)| state == "completed") {
                violations.push("a bad version was completed".to_owned());
            }
        }
        if let Some((at, _)) = decided.filter(|(_, state)| state == "completed") {
            let late = executions
                .iter()
                .filter(|run| !is_new(run) && run.began > *at + MARGIN);
            violations.extend(late.map(|run| {
                let after = run.began - *at;
                format!(
                    "{} reached an old worker {after:?} after the completion",
                    run.request
                )
            }));
        }
        violations
    }

    /// A bad version that got more than its share until the deadline.
    fn overexposed(
        &self,
        executions: &[Execution],
        is_new: impl Fn(&&Execution) -> bool,
    ) -> Option<String> {
        let end = self.began + Duration::from(DURATION);
        let during = executions
            .iter()
            .filter(|run| run.began >= self.began && run.began < end);
        let (all, new) = (during.clone().count(), during.filter(is_new).count());
        let allowed = BOUNDS.share * all as f64 + BOUNDS.slack;
        (new as f64 > allowed).then(|| format!("a bad version got {new} of {all} requests"))
    }
}

/// Requests to a bad version later than the time for the rollback after its 50th bad response.
fn used_after_rollback(
    executions: &[Execution],
    is_new: impl Fn(&&Execution) -> bool,
    history: &History,
) -> Vec<String> {
    let mut bad: Vec<&Execution> = executions.iter().filter(is_new).collect();
    bad.sort_by_key(|run| run.began);
    let Some(last) = bad.get(BAD_RESPONSES - 1) else {
        return Vec::new();
    };
    let from = last.began + WORK_TIME;
    let limit = from + Duration::from(BOUNDS.rollback) + MARGIN;
    let late = bad.iter().filter(|run| run.began > limit);
    let late = late.filter(|run| bounds_apply(history, from, run.began));
    late.map(|run| {
        let after = run.began - from;
        format!(
            "{} reached a bad version {after:?} after its 50th bad response",
            run.request
        )
    })
    .collect()
}
