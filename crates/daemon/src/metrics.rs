use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// What the daemon counts.
#[derive(Debug)]
pub(crate) struct Metrics {
    /// Calls answered, by service, class and outcome.
    pub(crate) answers: IntCounterVec,
    /// Open connections of callers.
    pub(crate) conns: IntGauge,
    /// Connections opened to upstreams on a request's path.
    pub(crate) dials: IntCounter,
    /// Connections opened to upstreams ahead of requests.
    pub(crate) dials_ahead: IntCounter,
    /// The generation in force.
    pub(crate) generation: IntGauge,
    /// Hedges and retries sent, by kind.
    pub(crate) extras: IntCounterVec,
    /// Bytes exchanged with peers, encryption included.
    pub(crate) peer_bytes: IntGauge,
    /// Calls made to the platform, by how they ended.
    pub(crate) platform: IntGaugeVec,
    registry: Registry,
    /// The time that a call spent here and not at the upstream, in seconds.
    pub(crate) spent: Histogram,
    /// Requests that wait, by service.
    pub(crate) waiting: IntGaugeVec,
    /// Workers by service and state.
    pub(crate) workers: IntGaugeVec,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let buckets = prometheus::exponential_buckets(0.000_05, 2.0, 16)?;
        let spent = HistogramOpts::new(
            "anvilferry_spent_seconds",
            "Time that calls spent in the daemon, their queueing included.",
        );
        let metrics = Self {
            answers: IntCounterVec::new(
                Opts::new("anvilferry_answers_total", "Calls answered."),
                &["service", "class", "outcome"],
            )?,
            conns: IntGauge::new(
                "anvilferry_caller_connections",
                "Open callers' connections.",
            )?,
            dials: IntCounter::new(
                "anvilferry_dials_total",
                "Connections opened to upstreams while a request waited.",
            )?,
            dials_ahead: IntCounter::new(
                "anvilferry_dials_ahead_total",
                "Connections opened to upstreams ahead of requests.",
            )?,
            extras: IntCounterVec::new(
                Opts::new("anvilferry_extras_total", "Hedges and retries sent."),
                &["kind"],
            )?,
            generation: IntGauge::new("anvilferry_generation", "The generation in force.")?,
            peer_bytes: IntGauge::new(
                "anvilferry_peer_bytes",
                "Bytes exchanged with peers, encryption included.",
            )?,
            platform: IntGaugeVec::new(
                Opts::new("anvilferry_platform_calls", "Calls made to the platform."),
                &["ending"],
            )?,
            spent: Histogram::with_opts(spent.buckets(buckets))?,
            waiting: IntGaugeVec::new(
                Opts::new("anvilferry_waiting", "Requests that wait for a worker."),
                &["service"],
            )?,
            workers: IntGaugeVec::new(
                Opts::new("anvilferry_workers", "Workers by state."),
                &["service", "state"],
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// The text that a Prometheus server reads.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        drop(TextEncoder::new().encode(&self.registry.gather(), &mut text));
        String::from_utf8_lossy(&text).into_owned()
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.answers.clone()))?;
        registry.register(Box::new(self.conns.clone()))?;
        registry.register(Box::new(self.dials.clone()))?;
        registry.register(Box::new(self.dials_ahead.clone()))?;
        registry.register(Box::new(self.extras.clone()))?;
        registry.register(Box::new(self.generation.clone()))?;
        registry.register(Box::new(self.peer_bytes.clone()))?;
        registry.register(Box::new(self.platform.clone()))?;
        registry.register(Box::new(self.spent.clone()))?;
        registry.register(Box::new(self.waiting.clone()))?;
        registry.register(Box::new(self.workers.clone()))
    }
}
