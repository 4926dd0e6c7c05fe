use {
    call::Decision,
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
        core::Collector,
    },
};

/// The upper ends of the latency buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];

/// What the daemon counts.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) heartbeats: IntCounter,
    pub(crate) connections: IntCounter,
    pub(crate) latency: Histogram,
    own: IntCounterVec,
    pub(crate) probes: IntCounter,
    registry: Registry,
    pub(crate) requests: IntCounter,
    pub(crate) resolves: IntCounter,
    sends: IntCounterVec,
    pub(crate) store_calls: IntCounter,
    waits: IntCounter,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "anvilferry_latency_seconds",
            "Time from a request to the worker's answer",
        );
        let latency = latency.buckets(BUCKETS.to_vec());
        Self {
            heartbeats: counter(
                &registry,
                "heartbeats_total",
                "Heartbeats sent to other daemons",
            ),
            connections: counter(
                &registry,
                "connections_total",
                "Connections opened to workers",
            ),
            latency: enter(&registry, Histogram::with_opts(latency)),
            own: family(
                &registry,
                "own_answers_total",
                "Answers of the daemon's own",
                "status",
            ),
            probes: counter(&registry, "probes_total", "Health requests sent to workers"),
            requests: counter(&registry, "requests_total", "Requests read from callers"),
            resolves: counter(&registry, "resolves_total", "Questions to the directory"),
            sends: family(
                &registry,
                "sends_total",
                "Requests sent to workers",
                "repeat",
            ),
            store_calls: counter(
                &registry,
                "store_calls_total",
                "Calls to the platform's store",
            ),
            waits: counter(
                &registry,
                "waits_total",
                "Times that a request waited for room",
            ),
            registry,
        }
    }

    pub(crate) fn count_own_answer(&self, status: u16) {
        self.own.with_label_values(&[&status.to_string()]).inc();
    }

    pub(crate) fn count_decision(&self, decision: &Decision) {
        match decision {
            Decision::Sent { prior_sends, .. } => {
                let repeat = if *prior_sends > 0 { "yes" } else { "no" };
                self.sends.with_label_values(&[repeat]).inc();
            }
            Decision::Backoff(_) => self.waits.inc(),
            Decision::AttemptEnded { .. } | Decision::Skipped { .. } | Decision::Refused(_) => {}
        }
    }

    /// The metrics as text.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            out = format!("# metrics can't be written: {error}\n").into_bytes();
        }
        out
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    enter(registry, IntCounter::with_opts(options(name, help)))
}

fn family(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    enter(registry, IntCounterVec::new(options(name, help), &[label]))
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("anvilferry_{name}"), help)
}

/// Enters a metric. The names are constants, so a failure is a mistake in this file.
#[allow(
    clippy::expect_used,
    reason = "constant names; checked by the test of the metrics page"
)]
fn enter<T: Collector + Clone + 'static>(registry: &Registry, made: prometheus::Result<T>) -> T {
    let metric = made.expect("the metric's name is valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("the metric's name is its own");
    metric
}
