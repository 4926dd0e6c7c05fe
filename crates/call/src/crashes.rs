//! Workers that crash while a request is in flight at them, and requests that are barred for it.

use {
    crate::{CallAction, CallId, LinkId, Liveness, call::Attempt, dispatcher::Dispatcher},
    pick::WorkerKey,
    poison::{CrashNews, Fingerprint},
    unit::{Span, Time},
};

/// How long a worker that is down may have crashed, until another one of its service is reached.
const SUSPICION_LIFE: Span = Span::secs(1);

/// A check whether a worker that broke off requests has crashed.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    /// The requests that it broke off.
    requests: Vec<Fingerprint>,
    /// The hash of its process run.
    run: u32,
    worker: WorkerKey,
}

/// A worker that accepted no connection after it broke off requests: it has crashed, or this daemon
/// was cut off from it.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    check: Check,
    /// When it accepted no connection.
    down_at: Time,
}

/// A crash of a worker, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerCrash {
    /// Whether the request is barred from now on.
    pub barred: bool,
    /// The request that was in flight.
    pub request: Fingerprint,
    /// The worker; `None` if another daemon told of the crash.
    pub worker: Option<WorkerKey>,
}

impl Dispatcher {
    /// Checks whether the worker that broke off an attempt has crashed, since then the request may
    /// have caused it. One check serves all requests that it breaks off meanwhile.
    pub(crate) fn check_worker(&mut self, attempt: &Attempt, request: Fingerprint) {
        let worker = attempt.worker;
        let running = self
            .checks
            .values_mut()
            .find(|check| check.worker == worker);
        if let Some(check) = running {
            check.requests.push(request);
            return;
        }
        let Some(record) = self.table.get(worker) else {
            return;
        };
        let check = Check {
            requests: vec![request],
            run: record.run_hash(),
            worker,
        };
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.checks.insert(link, check);
        self.actions.push(CallAction::Check { link, worker });
    }

    /// Handles the result of a check: a worker that is down has crashed.
    pub(crate) fn check_ended(&mut self, now: Time, link: LinkId, liveness: Liveness) {
        let Some(check) = self.checks.remove(&link) else {
            return;
        };
        if liveness != Liveness::Down {
            return;
        }
        let down_at = now;
        self.suspicions.push(Suspicion { check, down_at });
    }

    /// Counts the crashes of which a worker that was reached since shows that they aren't failures
    /// of this daemon's links.
    pub(crate) fn confirm_crashes(&mut self, now: Time, reached: WorkerKey) {
        if self.suspicions.is_empty() {
            return;
        }
        let Some(record) = self.table.get(reached) else {
            return;
        };
        let service = record.worker.service.clone();
        for suspicion in std::mem::take(&mut self.suspicions) {
            let worker = suspicion.check.worker;
            let record = self.table.get(worker);
            let same = record.is_some_and(|record| record.worker.service == service);
            if now.since(suspicion.down_at) >= SUSPICION_LIFE {
                continue;
            }
            if same && worker != reached {
                self.record_crashes(now, &suspicion);
            } else {
                self.suspicions.push(suspicion);
            }
        }
    }

    /// Drops the crashes that may be failures of this daemon's links to a service's workers.
    pub(crate) fn drop_suspicions(&mut self, service: &str) {
        let table = &self.table;
        self.suspicions.retain(|suspicion| {
            let record = table.get(suspicion.check.worker);
            record.is_some_and(|record| &*record.worker.service != service)
        });
    }

    fn record_crashes(&mut self, now: Time, suspicion: &Suspicion) {
        let check = &suspicion.check;
        for request in &check.requests {
            let news = CrashNews {
                age: now.since(suspicion.down_at),
                request: *request,
                run: Some(check.run),
            };
            let barred = self.crash_log.adopt(now, news);
            self.new_crashes.push(WorkerCrash {
                barred,
                request: *request,
                worker: Some(check.worker),
            });
        }
    }

    /// Records for the log what another daemon told, if it bars a request.
    pub(crate) fn record_crash_news(&mut self, news: CrashNews, barred: bool) {
        if barred {
            self.new_crashes.push(WorkerCrash {
                barred,
                request: news.request,
                worker: None,
            });
        }
    }

    /// How much longer a request in progress is barred, if it is.
    pub(crate) fn barred(&self, now: Time, id: CallId) -> Option<Span> {
        let call = self.calls.get(&id)?;
        self.crash_log.barred(now, call.fingerprint)
    }
}
