//! The fleet and the requests of a simulation.

use {
    site::{Notice, RouteKind},
    unit::{Rate, Span},
};

/// How long a worker that turns requests away wants nothing from their daemons.
pub(crate) const RETRY_DELAY: Span = Span::secs(2);

/// What a simulation consists of.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// The number of data centres. Daemons and workers are assigned to them in turn.
    pub(crate) centres: usize,
    pub(crate) daemons: usize,
    /// Whether workers say in their responses what they ask of the daemons.
    pub(crate) tells: bool,
    /// How many workers, the last ones, turn all requests away and ask for [`RETRY_DELAY`].
    pub(crate) turning_away: usize,
    /// Whether daemons tell each other of the limits that workers name.
    pub(crate) gossips: bool,
    /// The limits that the first workers name in their responses, in their order.
    pub(crate) rate_limits: Vec<Rate>,
    /// The requests of the callers, by route.
    pub(crate) workloads: Vec<Workload>,
    pub(crate) seed: u64,
    /// The fraction of the requests that the workers refuse even if they have room.
    pub(crate) refuse_fraction: f64,
    pub(crate) slots: u32,
    /// The fraction of the workers that are slow at any time.
    pub(crate) slow_fraction: f64,
    pub(crate) workers: usize,
}

/// Requests of one route.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) kind: RouteKind,
    /// How long a caller waits in total, retries included.
    pub(crate) limit: Span,
    pub(crate) name: &'static str,
    pub(crate) objective: Span,
    pub(crate) priority: u32,
    /// Callers per second.
    pub(crate) rate: f64,
    /// The most times that a caller retries.
    pub(crate) retries: u32,
    /// The mean service time on a worker at normal speed.
    pub(crate) work: Span,
}

impl Scenario {
    /// Four data centres with 13 daemons and 14 workers of four slots, of which a quarter are slow.
    pub(crate) fn new(workloads: Vec<Workload>) -> Self {
        Self {
            centres: 4,
            daemons: 13,
            tells: true,
            turning_away: 0,
            gossips: true,
            rate_limits: Vec::new(),
            workloads,
            seed: 1,
            refuse_fraction: 0.0,
            slots: 4,
            slow_fraction: 0.25,
            workers: 14,
        }
    }

    /// What the responses of the worker with an index ask of the daemons.
    pub(crate) fn notice(&self, index: usize) -> Notice {
        let turns_away = self.turns_away(index);
        Notice {
            retry_after: turns_away.then_some(RETRY_DELAY),
            rate_limit: self.rate_limits.get(index).copied(),
            ..Notice::default()
        }
    }

    /// Whether the worker with an index turns all requests away.
    pub(crate) fn turns_away(&self, index: usize) -> bool {
        index + self.turning_away >= self.workers
    }

    /// How many requests with the mean service time `work` the workers at normal speed can run per
    /// second.
    pub(crate) fn capacity(&self, work: Span) -> f64 {
        let slots = self.workers as f64 * f64::from(self.slots);
        slots * (1.0 - self.slow_fraction) / work.as_secs()
    }
}

/// Idempotent requests of the lowest priority.
pub(crate) fn reads(rate: f64) -> Workload {
    Workload {
        kind: RouteKind::Idempotent,
        limit: Span::millis(800),
        name: "reads",
        objective: Span::millis(200),
        priority: 2,
        rate,
        retries: 1,
        work: Span::millis(70),
    }
}

/// A few requests of the highest priority, such as those of a monitoring system.
pub(crate) fn probes(rate: f64) -> Workload {
    Workload {
        name: "probes",
        objective: Span::millis(1_000),
        priority: 0,
        ..reads(rate)
    }
}

/// At-most-once requests of a higher priority than the reads.
pub(crate) fn writes(rate: f64) -> Workload {
    Workload {
        kind: RouteKind::AtMostOnce,
        limit: Span::millis(1_000),
        name: "writes",
        objective: Span::millis(250),
        priority: 1,
        rate,
        retries: 1,
        work: Span::millis(90),
    }
}
