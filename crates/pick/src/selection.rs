//! Worker selection: which worker a request probes or uses next.

use {
    crate::{Standing, WorkerKey, WorkerRecord, WorkerTable},
    fastrand::Rng,
    rollout::Lane,
    std::{cmp::Ordering, collections::BinaryHeap},
    unit::{Span, Time},
};

/// How long a worker that was found slow or full ranks behind the other usable workers.
const BUSY_DEMOTION: Span = Span::millis(60);
/// How long such a worker is left out altogether for a request with [`Criteria::skip_busy`].
const BUSY_EXCLUSION: Span = Span::millis(25);
/// How long after a response to a health probe the connection to the worker is likely still open.
const CONNECTION_LIFE: Span = Span::secs(6);
/// The factor on the cost of a worker to which likely no connection is open.
const NO_CONNECTION_FACTOR: f64 = 1.5;
/// One selection in this many ranks usable workers first that this daemon has never sent a request
/// to.
const EXPLORE_ONE_IN: u32 = 8;

/// What a request requires of a worker.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Whether it is one that goes to the target version of a rollout.
    pub canary: bool,
    /// Whether to leave out workers that were found slow or full just now.
    pub skip_busy: bool,
    /// Workers that must not be selected again.
    pub excluded: &'a [WorkerKey],
    /// The name of the service that the worker must belong to.
    pub service: &'a str,
}

/// A selected worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Whether it rejected requests lately although its load showed a free slot.
    pub demoted: bool,
    /// The worker.
    pub key: WorkerKey,
    /// Whether it is in this daemon's own data centre.
    pub local: bool,
    /// Its standing at the time of the selection.
    pub standing: Standing,
}

/// The workers that a request may get, from the best to the worst. Only those that are taken from it
/// are put in order.
#[derive(Debug)]
pub struct Ranking(BinaryHeap<RankedWorker>);

impl Iterator for Ranking {
    type Item = Selection;

    fn next(&mut self) -> Option<Selection> {
        self.0.pop().map(|ranked| ranked.selection)
    }
}

/// A worker in a [`Ranking`]; the greatest is the best.
#[derive(Clone, Copy, Debug)]
struct RankedWorker {
    cost: f64,
    selection: Selection,
    tier: u32,
}

impl Ord for RankedWorker {
    fn cmp(&self, other: &Self) -> Ordering {
        let tier = other.tier.cmp(&self.tier);
        tier.then_with(|| other.cost.total_cmp(&self.cost))
    }
}

impl PartialOrd for RankedWorker {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedWorker {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RankedWorker {}

impl WorkerTable {
    /// Ranks the workers for a request. Workers of the own data centre rank first, those that
    /// were just found slow or full later, those that reject requests after these, those that failed
    /// recently or leave last; workers of equal rank are compared by cost. Workers that may not get a
    /// request now are left out.
    ///
    /// This looks at every worker of the service, so a request that passes over some goes on in
    /// the same ranking.
    pub fn rank(&self, now: Time, criteria: &Criteria<'_>, rng: &mut Rng) -> Ranking {
        let keys = self.services.get(criteria.service);
        self.count_examined(keys.map_or(0, Vec::len));
        self.preview_rank(now, criteria, rng)
    }

    /// The same as [`Self::rank`], without counting the workers that it looks at.
    pub fn preview_rank(&self, now: Time, criteria: &Criteria<'_>, rng: &mut Rng) -> Ranking {
        let keys = self.services.get(criteria.service);
        let keys = keys.map(Vec::as_slice).unwrap_or_default();
        let explore = rng.u32(..EXPLORE_ONE_IN) == 0;
        let open: Vec<(WorkerKey, Standing, &WorkerRecord)> = keys
            .iter()
            .filter_map(|key| {
                let record = self.records.get(key)?;
                let standing = self.standing(*key, now);
                let lane = if criteria.canary {
                    Lane::Canary
                } else {
                    Lane::Open
                };
                let open = standing != Standing::Barred
                    && record.lane == lane
                    && self.is_open(record, now);
                open.then_some((*key, standing, record))
            })
            .collect();
        let any_usable = open
            .iter()
            .any(|(_, standing, _)| *standing == Standing::Usable);
        let any_demoted = open.iter().any(|(_, _, record)| record.is_demoted(now));
        let may_leave_out = any_demoted && self.may_leave_out(criteria.service, now);
        let ranked = open.into_iter().filter_map(|(key, standing, record)| {
            // While other workers can be reached, a probe of one in backoff would be wasted.
            let skipped = criteria.excluded.contains(&key)
                || (any_usable && record.in_backoff(now))
                || (may_leave_out && record.is_left_out(now))
                || (criteria.skip_busy && record.busy_within(now, BUSY_EXCLUSION));
            if skipped {
                return None;
            }
            let local = record.worker.centre == self.centre;
            let demoted = record.is_demoted(now);
            Some(RankedWorker {
                cost: cost(record, now, rng),
                selection: Selection {
                    demoted,
                    key,
                    local,
                    standing,
                },
                tier: tier(record, standing, local, explore && !demoted, now),
            })
        });
        Ranking(ranked.collect())
    }
}

/// The cost of a worker among those of its tier; the lowest is selected. It contains a random part
/// so that the daemons don't all select the same worker.
fn cost(record: &WorkerRecord, now: Time, rng: &mut Rng) -> f64 {
    let jitter = 0.9 + 0.2 * rng.f64();
    let connection_factor = if record.probed_within(now, CONNECTION_LIFE) {
        1.0
    } else {
        NO_CONNECTION_FACTOR
    };
    record.slowness(now).max(1.0) * (1.0 + f64::from(record.in_flight)) * connection_factor * jitter
}

/// The rank of a worker by its state; lower tiers are selected first.
fn tier(record: &WorkerRecord, standing: Standing, local: bool, explore: bool, now: Time) -> u32 {
    match standing {
        Standing::Usable if explore && !record.used => 0,
        Standing::Usable if record.is_demoted(now) => 5,
        Standing::Usable => {
            let busy = record.busy_within(now, BUSY_DEMOTION);
            1 + u32::from(!local) + 2 * u32::from(busy)
        }
        Standing::Suspect => 6,
        Standing::Leaving => 7,
        Standing::Barred => 8,
    }
}
