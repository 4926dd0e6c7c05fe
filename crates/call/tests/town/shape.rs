use {site::Idempotency, unit::Span};

/// What a town consists of.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// Data centres, among which daemons and workers are dealt by turns.
    pub(crate) centres: usize,
    pub(crate) daemons: usize,
    /// The requests that arrive.
    pub(crate) flows: Vec<Flow>,
    pub(crate) seed: u64,
    /// The part of the requests that a worker refuses though it has room.
    pub(crate) shed: f64,
    pub(crate) slots: u32,
    /// The part of the machines that are slow at any moment.
    pub(crate) slow: f64,
    pub(crate) workers: usize,
}

/// Requests of one route.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub(crate) kind: Idempotency,
    /// How long a caller tries in all.
    pub(crate) limit: Span,
    pub(crate) name: &'static str,
    pub(crate) objective: Span,
    pub(crate) rank: u32,
    /// Callers a second.
    pub(crate) rate: f64,
    /// How often a caller tries again.
    pub(crate) retries: u32,
    /// What a request takes on a machine at its usual pace, on average.
    pub(crate) work: Span,
}

impl Shape {
    /// Four data centres with 13 daemons and 14 workers of four slots, of which a quarter are slow.
    pub(crate) fn new(flows: Vec<Flow>) -> Self {
        Self {
            centres: 4,
            daemons: 13,
            flows,
            seed: 1,
            shed: 0.0,
            slots: 4,
            slow: 0.25,
            workers: 14,
        }
    }

    /// The requests of some work that the machines at their usual pace bear in a second.
    pub(crate) fn bears(&self, work: Span) -> f64 {
        let slots = self.workers as f64 * f64::from(self.slots);
        slots * (1.0 - self.slow) / work.as_secs()
    }
}

/// Requests that may be repeated, of the usual rank.
pub(crate) fn reads(rate: f64) -> Flow {
    Flow {
        kind: Idempotency::Idempotent,
        limit: Span::millis(800),
        name: "reads",
        objective: Span::millis(200),
        rank: 2,
        rate,
        retries: 1,
        work: Span::millis(70),
    }
}

/// Few requests, of the highest rank.
pub(crate) fn probes(rate: f64) -> Flow {
    Flow {
        name: "probes",
        objective: Span::millis(1_000),
        rank: 0,
        ..reads(rate)
    }
}

/// Requests that may run once, of a higher rank.
pub(crate) fn writes(rate: f64) -> Flow {
    Flow {
        kind: Idempotency::AtMostOnce,
        limit: Span::millis(1_000),
        name: "writes",
        objective: Span::millis(250),
        rank: 1,
        rate,
        retries: 1,
        work: Span::millis(90),
    }
}
