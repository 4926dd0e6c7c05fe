//! The daemon's metrics.

use {
    call::{CallError, Decision, LeavingCount},
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder, core::Collector,
    },
    site::RouteKind,
};

/// The upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];

/// The upper bounds of the buckets for turns of the event loop, in seconds.
const TURN_BUCKETS_S: [f64; 8] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

/// The metrics of the daemon, in a registry of their own.
#[derive(Debug)]
pub(crate) struct Metrics {
    /// Accounts and keys of the configuration that are not in force as they are configured.
    pub(crate) account_problems: IntGauge,
    /// Requests between daemons, by what happened to them.
    forwards: IntCounterVec,
    /// Heartbeats sent to other daemons.
    pub(crate) heartbeats: IntCounter,
    /// Connections opened to workers.
    pub(crate) connections: IntCounter,
    /// Requests that were in flight at workers that crashed.
    pub(crate) crashes: IntCounter,
    /// Times that a worker was left out for its rejections, by how this daemon learned of them.
    ejections: IntCounterVec,
    /// Entries of workers and daemons that were looked at to select workers.
    pub(crate) examined: IntCounter,
    /// Requests that were not admitted for their keys, by the reason.
    key_refusals: IntCounterVec,
    /// The time from reading a request to delivering its response, in seconds.
    pub(crate) latency: Histogram,
    /// Responses that the daemon itself gave, by status.
    own_responses: IntCounterVec,
    /// Bytes of requests and responses between this data centre and others, by service.
    leaving_bytes: IntCounterVec,
    /// Times that requests waited for a worker of the own data centre, by service.
    leaving_held: IntCounterVec,
    /// Requests sent to workers of other data centres, by service.
    leaving_sends: IntCounterVec,
    /// Health probes sent to workers.
    pub(crate) probes: IntCounter,
    /// Probes of workers that failed, by how.
    probe_failures: IntCounterVec,
    registry: Registry,
    /// Responses that were broken off after a part of them had been passed on.
    pub(crate) relays_broken: IntCounter,
    /// Requests read from callers.
    pub(crate) requests: IntCounter,
    /// Directory queries.
    pub(crate) resolves: IntCounter,
    /// Routes of the configuration that aren't served as they are configured.
    pub(crate) route_problems: IntGauge,
    /// Requests that matched a route, by the route's kind.
    routed: IntCounterVec,
    /// Permits to send a request once more, by whether they were granted.
    retry_permits: IntCounterVec,
    /// Requests sent to workers of services with a rollout, by whether these have the target
    /// version.
    rollout_sends: IntCounterVec,
    /// Requests sent to workers, by whether they had been sent before.
    sends: IntCounterVec,
    /// Requests rejected because those before them waited in vain.
    shed: IntCounter,
    /// Calls to the platform's store.
    pub(crate) store_calls: IntCounter,
    /// The time from a poll's return to the next poll, in seconds.
    pub(crate) turns: Histogram,
    /// Times that a request backed off because no suitable worker was found.
    waits: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "anvilferry_latency_seconds",
            "Time from a request to the worker's answer",
        );
        let latency = latency.buckets(LATENCY_BUCKETS_S.to_vec());
        let turns = HistogramOpts::new(
            "anvilferry_turn_seconds",
            "Time that the event loop takes for the events of one poll",
        );
        let turns = turns.buckets(TURN_BUCKETS_S.to_vec());
        Self {
            account_problems: register(
                &registry,
                IntGauge::with_opts(options(
                    "account_problems",
                    "Accounts and keys that are not in force as they are configured",
                )),
            ),
            forwards: counter_vec(
                &registry,
                "forwards_total",
                "Requests forwarded to and by other daemons",
                "step",
            ),
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
            crashes: counter(
                &registry,
                "crashes_total",
                "Requests in flight at workers that crashed",
            ),
            ejections: counter_vec(
                &registry,
                "ejections_total",
                "Times that a worker was left out because it rejects requests",
                "source",
            ),
            examined: counter(
                &registry,
                "examined_total",
                "Entries looked at to select workers",
            ),
            key_refusals: counter_vec(
                &registry,
                "key_refusals_total",
                "Requests that were not admitted for their keys",
                "reason",
            ),
            latency: register(&registry, Histogram::with_opts(latency)),
            own_responses: counter_vec(
                &registry,
                "own_answers_total",
                "Answers of the daemon's own",
                "status",
            ),
            leaving_bytes: counter_vec(
                &registry,
                "leaving_bytes_total",
                "Bytes of requests and responses between data centres",
                "service",
            ),
            leaving_held: counter_vec(
                &registry,
                "leaving_held_total",
                "Times that a request waited for a worker of its data centre",
                "service",
            ),
            leaving_sends: counter_vec(
                &registry,
                "leaving_sends_total",
                "Requests sent to workers of other data centres",
                "service",
            ),
            probes: counter(&registry, "probes_total", "Health requests sent to workers"),
            probe_failures: counter_vec(
                &registry,
                "probe_failures_total",
                "Probes of workers that failed",
                "failure",
            ),
            relays_broken: counter(
                &registry,
                "relays_broken_total",
                "Responses broken off after a part was passed on",
            ),
            requests: counter(&registry, "requests_total", "Requests read from callers"),
            resolves: counter(&registry, "resolves_total", "Questions to the directory"),
            route_problems: register(
                &registry,
                IntGauge::with_opts(options(
                    "route_problems",
                    "Routes that are not served as they are configured",
                )),
            ),
            routed: counter_vec(
                &registry,
                "routed_total",
                "Requests that matched a route",
                "kind",
            ),
            retry_permits: counter_vec(
                &registry,
                "retry_permits_total",
                "Permits to send a request once more that were asked for",
                "granted",
            ),
            rollout_sends: counter_vec(
                &registry,
                "rollout_sends_total",
                "Requests sent to workers of services with a rollout",
                "version",
            ),
            sends: counter_vec(
                &registry,
                "sends_total",
                "Requests sent to workers",
                "repeat",
            ),
            shed: counter(
                &registry,
                "shed_total",
                "Requests rejected because others of their route waited in vain",
            ),
            store_calls: counter(
                &registry,
                "store_calls_total",
                "Calls to the platform's store",
            ),
            turns: register(&registry, Histogram::with_opts(turns)),
            waits: counter(
                &registry,
                "waits_total",
                "Times that a request waited for room",
            ),
            registry,
        }
    }

    /// Counts a response with this status that the daemon itself gave.
    pub(crate) fn count_own_response(&self, status: u16) {
        self.own_responses
            .with_label_values(&[&status.to_string()])
            .inc();
    }

    /// Counts a request that was not admitted for its key.
    pub(crate) fn count_key_refusal(&self, reason: &str) {
        self.key_refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a worker that is left out for its rejections from now on.
    pub(crate) fn count_ejection(&self, source: &str) {
        self.ejections.with_label_values(&[source]).inc();
    }

    /// Counts a request that matched a route of this kind.
    pub(crate) fn count_routed(&self, kind: &RouteKind) {
        self.routed.with_label_values(&[kind.name()]).inc();
    }

    /// Counts a step of a request between daemons: `sent` and `declined` at the daemon that
    /// forwards it, `taken` and `refused` at its helper.
    pub(crate) fn count_forward(&self, step: &str) {
        self.forwards.with_label_values(&[step]).inc();
    }

    /// Counts a send to a worker of a service with a rollout.
    pub(crate) fn count_rollout_send(&self, is_target: bool) {
        let version = if is_target { "target" } else { "old" };
        self.rollout_sends.with_label_values(&[version]).inc();
    }

    /// Counts a decision about a request.
    pub(crate) fn count_decision(&self, decision: &Decision) {
        match decision {
            Decision::Sent { prior_sends, .. } => {
                let repeat = if *prior_sends > 0 { "yes" } else { "no" };
                self.sends.with_label_values(&[repeat]).inc();
            }
            Decision::Backoff(_) => self.waits.inc(),
            Decision::RetryPermit { granted, .. } => {
                let granted = if *granted { "yes" } else { "no" };
                self.retry_permits.with_label_values(&[granted]).inc();
            }
            Decision::Shed { .. } => self.shed.inc(),
            Decision::Declined(_) => self.count_forward("declined"),
            Decision::Forwarded(_) => self.count_forward("sent"),
            Decision::Skipped {
                failure: Some(failure),
                ..
            } => {
                let failure = failure.to_string();
                self.probe_failures.with_label_values(&[&failure]).inc();
            }
            Decision::Failed(CallError::Unauthorized) => self.count_key_refusal("changed"),
            Decision::AttemptEnded { .. } | Decision::Skipped { .. } | Decision::Failed(_) => {}
        }
    }

    /// Raises the counters of what left the data centre for a service.
    pub(crate) fn set_leaving(&self, service: &str, count: &LeavingCount) {
        for (metric, value) in [
            (&self.leaving_bytes, count.bytes),
            (&self.leaving_held, count.held),
            (&self.leaving_sends, count.sends),
        ] {
            let counter = metric.with_label_values(&[service]);
            counter.inc_by(value.saturating_sub(counter.get()));
        }
    }

    /// The metrics in Prometheus text format. If they can't be encoded, a comment in that format
    /// says why.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            out = format!("# metrics can't be written: {error}\n").into_bytes();
        }
        out
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::with_opts(options(name, help)))
}

fn counter_vec(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    register(registry, IntCounterVec::new(options(name, help), &[label]))
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("anvilferry_{name}"), help)
}

/// Registers a metric. The names are constants, so a failure is a mistake in this file.
#[allow(
    clippy::expect_used,
    reason = "constant names; checked by the test of the metrics page"
)]
fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    result: prometheus::Result<T>,
) -> T {
    let metric = result.expect("the metric's name is valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("the metric's name is unique");
    metric
}
