//! Where a request would go now, and why. It takes no permit and changes nothing.

use {
    crate::{call::Call, dispatcher::Dispatcher},
    derive_more::Display,
    pick::{Criteria, Selection, Standing, WorkerKey},
    poison::Fingerprint,
    site::{LoadReport, Route},
    std::sync::Arc,
    unit::{Name, Span, Time},
};

/// The most workers that a preview lists.
const MAX_WORKERS: usize = 12;

/// What would decide about a worker.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PreviewVerdict {
    /// Its last load report shows no room.
    #[display("full")]
    Full,
    /// The request would wait for a worker of its own data centre before it is sent there.
    #[display("held")]
    Held,
    /// It would be probed, and gets the request if it then has room.
    #[display("probed")]
    Probed,
    /// It failed lately or is about to stop, and is probed only if no other worker is left.
    #[display("last resort")]
    LastResort,
}

/// A worker that a request may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct PreviewWorker {
    /// The expected time from sending to the response.
    pub expected: Span,
    /// The load that it last reported, and how long ago.
    pub load: Option<(LoadReport, Span)>,
    /// Whether it is in this daemon's own data centre.
    pub local: bool,
    /// What would decide about it.
    pub verdict: PreviewVerdict,
    /// The worker.
    pub worker: WorkerKey,
}

/// Where the requests of a route that go to one service would go now.
#[derive(Clone, Debug, PartialEq)]
pub struct Preview {
    /// How long a request waits before it looks for a worker again, where none has room.
    pub backoff: Span,
    /// How long a request goes on to look for a worker that can still meet its latency objective.
    pub patience: Span,
    /// To how many workers a request may be sent.
    pub attempts: u32,
    /// The service.
    pub service: Name,
    /// The workers in the order in which they would be looked at; the first [`MAX_WORKERS`] of them.
    pub workers: Vec<PreviewWorker>,
}

impl Dispatcher {
    /// Where a request of a route would go now, for each service that the route's weights pick.
    ///
    /// The order of workers that are as good as each other is drawn anew for each request, so it may
    /// differ for the next one.
    pub fn preview(&self, now: Time, route: &Arc<Route>) -> Vec<Preview> {
        let weighted = route.targets.iter().filter(|target| target.weight > 0);
        weighted
            .map(|target| self.preview_service(now, route, &target.service))
            .collect()
    }

    fn preview_service(&self, now: Time, route: &Arc<Route>, service: &Name) -> Preview {
        let deadline = now + route.timeout;
        let fingerprint = Fingerprint(0);
        let call = Call::new(
            fingerprint,
            Arc::clone(route),
            service.clone(),
            now,
            deadline,
        );
        let criteria = Criteria {
            canary: false,
            skip_busy: false,
            excluded: &[],
            service,
        };
        let ranking = self
            .table
            .preview_rank(now, &criteria, &mut self.rng.clone());
        let workers = ranking
            .take(MAX_WORKERS)
            .filter_map(|selected| self.preview_worker(now, &call, selected));
        Preview {
            backoff: self.policy.backoff,
            patience: self.backoff_limit(&call),
            attempts: call.max_attempts,
            service: service.clone(),
            workers: workers.collect(),
        }
    }

    fn preview_worker(&self, now: Time, call: &Call, selected: Selection) -> Option<PreviewWorker> {
        let record = self.table.get(selected.key)?;
        let load = record.load(now);
        let room = load.is_none_or(|(load, _)| self.fits(now, call, selected.key, load));
        let verdict = if selected.standing >= Standing::Suspect {
            PreviewVerdict::LastResort
        } else if self.must_hold(now, call, selected) {
            PreviewVerdict::Held
        } else if room {
            PreviewVerdict::Probed
        } else {
            PreviewVerdict::Full
        };
        Some(PreviewWorker {
            expected: record.expected_latency(now, &self.known_latency(call)),
            load,
            local: selected.local,
            verdict,
            worker: selected.key,
        })
    }
}
