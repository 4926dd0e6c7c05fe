use {
    crate::{Desk, Job, worker::Worker},
    fastrand::Rng,
    unit::{Span, Time},
};

/// Out of so many idempotent requests one goes to a cold worker while it has room.
const COLD: u32 = 4;
/// The least time without an answer after which a worker counts as stalled.
const STALL: Span = Span::millis(5);

/// A worker for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    /// Workers that could have had it.
    pub(crate) free: u32,
    pub(crate) index: usize,
    /// Workers passed over.
    pub(crate) passed: u32,
    /// Whether the worker is left out, and this is a single trial.
    pub(crate) trial: bool,
}

impl Desk {
    /// How long a worker with requests may go without an answer.
    pub(crate) fn patience(&self) -> Span {
        let usual = self.latency.high().unwrap_or(Span::secs(1));
        (usual + usual / 2).max(STALL)
    }

    /// Chooses a worker with a free slot.
    ///
    /// Workers that are slow, stalled or failing are passed over, at most the service's share of
    /// them, the worst first; a single idempotent request tries them from time to time.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        job: &Job,
        not: Option<&str>,
        rng: &mut Rng,
    ) -> Option<Choice> {
        if !self.spec.policy.lends() {
            return self.choose_alone(not, rng);
        }
        let left_out = self.left_out(now);
        let feed = self.may_feed(now);
        let (spec, daemons) = (self.spec, self.daemons);
        let mut passed = 0;
        let mut good = Vec::new();
        let mut cold = Vec::new();
        let mut trials = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let fit = usable(worker, now, not)
                && worker.free(now, &spec) > 0
                && (worker.idle > 0 || worker.can_dial(now, &spec, daemons, feed));
            if !fit {
                passed += 1;
            } else if left_out.contains(&index) {
                passed += 1;
                if worker.trial_due(now) && (worker.ramp.warm() || feed) {
                    trials.push(index);
                }
            } else if worker.mine && !worker.ramp.warm() {
                if feed {
                    cold.push(index);
                }
            } else {
                good.push(index);
            }
        }
        let free = u32::try_from(good.len()).unwrap_or(u32::MAX);
        let choice = |index, trial| Choice {
            free,
            index,
            passed,
            trial,
        };
        if let (false, Some(index)) = (job.once || not.is_some(), rng.choice(&trials)) {
            return Some(choice(*index, true));
        }
        let warm = self
            .workers
            .iter()
            .any(|worker| worker.seat.open && worker.warm());
        let try_cold = if job.once {
            !warm
        } else {
            good.is_empty() || rng.u32(0..COLD) == 0
        };
        if let (true, Some(index)) = (try_cold, rng.choice(&cold)) {
            return Some(choice(*index, false));
        }
        // Own slots first, so that borrowed ones fall idle and go back to their homes.
        let own = |index: &usize| self.workers.get(*index).is_some_and(|worker| worker.mine);
        if good.iter().any(own) {
            good.retain(own);
        }
        let first = *rng.choice(&good)?;
        let second = *rng.choice(&good)?;
        Some(choice(self.better(first, second), false))
    }

    /// Of two workers the one whose answers come sooner.
    fn better(&self, first: usize, second: usize) -> usize {
        let ratio = |index: usize| {
            self.workers
                .get(index)
                .map_or(1.0, |worker: &Worker| worker.ratio.ratio())
        };
        if ratio(second) < ratio(first) {
            second
        } else {
            first
        }
    }

    /// The workers to pass over, at most the service's share of those that are open.
    fn left_out(&self, now: Time) -> Vec<usize> {
        let patience = self.patience();
        let open = self
            .workers
            .iter()
            .filter(|worker| worker.seat.open)
            .count();
        let most = (open * self.spec.out as usize).div_ceil(100).min(open / 2);
        let mut bad: Vec<(u64, usize)> = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| worker.seat.open)
            .filter_map(|(index, worker)| Some((badness(worker, now, patience)?, index)))
            .collect();
        bad.sort_unstable_by(|a, b| b.cmp(a));
        bad.into_iter().take(most).map(|(_, index)| index).collect()
    }

    fn choose_alone(&self, not: Option<&str>, rng: &mut Rng) -> Option<Choice> {
        let fit = |(_, worker): &(usize, &Worker)| {
            worker.seat.open && Some(&**worker.name()) != not && worker.busy() < self.spec.slots * 4
        };
        let open: Vec<(usize, &Worker)> = self.workers.iter().enumerate().filter(fit).collect();
        let first = rng.choice(&open)?;
        let second = rng.choice(&open)?;
        let index = if second.1.busy() < first.1.busy() {
            second.0
        } else {
            first.0
        };
        Some(Choice {
            free: u32::try_from(open.len()).unwrap_or(u32::MAX),
            index,
            passed: 0,
            trial: false,
        })
    }
}

fn usable(worker: &Worker, now: Time, not: Option<&str>) -> bool {
    worker.seat.open
        && Some(&**worker.name()) != not
        && !worker.doubt
        && worker.boot.is_some()
        && now >= worker.rest
}

/// How bad a worker is; `None` where nothing is wrong with it.
fn badness(worker: &Worker, now: Time, patience: Span) -> Option<u64> {
    if worker.health.out() {
        Some(u64::MAX)
    } else if worker.stalled(now, patience) {
        Some(u64::MAX - 1)
    } else if worker.ratio.slow() {
        Some((worker.ratio.ratio() * 1_000.0) as u64)
    } else {
        None
    }
}
