//! What a soak saw, as a record that can be judged.

use {
    crate::{
        config::{SERVICE, config},
        execution_log::ExecutionLog,
        outcome::Outcome,
        settings::bounds,
        soak::{
            callers::TimedResult,
            report::{History, SUSPENSION_TAIL},
        },
    },
    judge::{Bounds, Entry, Event, Record, RetryBound, Subject},
    std::{
        collections::HashMap,
        net::SocketAddrV4,
        time::{Duration, Instant},
    },
    unit::{Name, Span, Time},
};

/// How long a draining worker may still get requests, with a margin for a busy test machine.
const DRAIN_LIMIT: Span = Span::millis(2_300);
/// How long an evacuated data centre may still get requests, with the same margin.
const EVACUATION_LIMIT: Span = Span::millis(5_300);
/// How long after its route's timeout a request may be unanswered, with the same margin.
const ANSWER_SLACK: Span = Span::millis(800);
/// What a daemon may take of memory here, in bytes.
const MAX_MEMORY: u64 = 128 << 20;
/// How long after a worker stopped to cut its responses short one of them may still be on its way.
const CUT_TAIL: Duration = Duration::from_secs(2);

/// What callers and workers recorded.
pub(crate) struct Observations<'a> {
    /// The data centre of each worker.
    pub(crate) centres: &'a HashMap<Name, &'static str>,
    /// When the soak began.
    pub(crate) began: Instant,
    pub(crate) history: &'a History,
    /// The index of the daemon at each address.
    pub(crate) indices: &'a HashMap<SocketAddrV4, usize>,
    /// The peak memory of each daemon's last process, in bytes.
    pub(crate) memory: &'a [u64],
    pub(crate) log: &'a ExecutionLog,
    pub(crate) requests: &'a [TimedResult],
}

impl Observations<'_> {
    /// The record of a soak.
    pub(crate) fn record(&self) -> Record {
        let mut entries = self.workers();
        entries.extend(self.sent());
        entries.extend(self.runs());
        entries.extend(self.faults());
        entries.extend(self.peaks());
        Record::new(limits(), entries)
    }

    fn entry(&self, at: Instant, event: Event) -> Entry {
        let at = self.time(at);
        Entry { at, event }
    }

    /// A moment on the record's clock. What was before the soak began was at its beginning.
    fn time(&self, at: Instant) -> Time {
        Time::at(at.saturating_duration_since(self.began).into())
    }

    fn workers(&self) -> Vec<Entry> {
        let joined = |(worker, centre): (&Name, &&'static str)| Event::Joined {
            worker: worker.clone(),
            centre: (*centre).into(),
            service: SERVICE.into(),
        };
        let events = self.centres.iter().map(joined);
        events.map(|event| self.entry(self.began, event)).collect()
    }

    /// The requests that found a daemon, and their answers.
    fn sent(&self) -> Vec<Entry> {
        let routes = config(0);
        let route = routes.hosts.values().flatten().next();
        let timeout = route.map(|route| route.timeout).unwrap_or_default();
        let attempts = route.map_or(0, |route| route.max_attempts);
        let mut entries = Vec::new();
        for request in self.requests {
            let result = &request.result;
            let Some(outcome) = outcome(result.outcome) else {
                continue;
            };
            let id: Name = result.id.as_str().into();
            let opened = request.began.checked_sub(result.conn_age);
            let sent = Event::Sent {
                request: id.clone(),
                account: None,
                daemon: self.daemon(self.indices.get(&result.daemon)),
                idempotent: !request.write,
                max_attempts: attempts,
                opened: self.time(opened.unwrap_or(self.began)),
                service: SERVICE.into(),
                timeout,
            };
            entries.push(self.entry(request.began, sent));
            let answered = Event::Answered {
                request: id,
                outcome,
            };
            entries.push(self.entry(request.began + result.elapsed, answered));
        }
        entries
    }

    fn runs(&self) -> Vec<Entry> {
        let arrivals = self.log.arrivals();
        let arrived = arrivals.iter().map(|arrival| {
            let event = Event::Arrived {
                request: arrival.request.as_str().into(),
                worker: arrival.worker.clone(),
                cold: arrival.cold,
            };
            self.entry(arrival.at, event)
        });
        let executions = self.log.entries();
        let began = executions.iter().map(|execution| {
            let event = Event::Began {
                request: execution.request.as_str().into(),
                worker: execution.worker.clone(),
            };
            self.entry(execution.began, event)
        });
        arrived.chain(began).collect()
    }

    /// The faults on which promises depend, and the changes that the store acknowledged.
    fn faults(&self) -> Vec<Entry> {
        let history = self.history;
        let mut entries = Vec::new();
        let mut disrupt = |from: Instant, to: Instant, subject: Subject| {
            let until = self.time(to);
            entries.push(self.entry(from, Event::Disrupted { subject, until }));
        };
        for fault in &history.disrupted {
            let daemon = self.daemon(Some(&fault.subject));
            disrupt(fault.from, fault.to, Subject::Daemon(daemon));
        }
        for fault in &history.cutting {
            let worker = Subject::Worker(fault.subject.clone());
            disrupt(fault.from, fault.to + CUT_TAIL, worker);
        }
        for fault in &history.suspensions {
            disrupt(fault.from, fault.to, Subject::Spreading);
        }
        for (worker, at) in &history.draining {
            let worker = worker.clone();
            entries.push(self.entry(*at, Event::Drained { worker }));
        }
        for evacuation in &history.evacuated {
            let centre: Name = evacuation.subject.into();
            let evacuated = Event::Evacuated {
                centre: centre.clone(),
            };
            entries.push(self.entry(evacuation.from, evacuated));
            entries.push(self.entry(evacuation.to, Event::Returned { centre }));
        }
        entries
    }

    fn peaks(&self) -> Vec<Entry> {
        let peaks = self.memory.iter().enumerate();
        let peaks = peaks.map(|(index, bytes)| Event::PeakMemory {
            daemon: self.daemon(Some(&index)),
            bytes: *bytes,
        });
        peaks
            .map(|event| self.entry(Instant::now(), event))
            .collect()
    }

    fn daemon(&self, index: Option<&usize>) -> Name {
        let index = index.map_or_else(|| "unknown".to_owned(), ToString::to_string);
        format!("daemon {index}").into()
    }
}

/// The bounds that hold in a soak.
fn limits() -> Bounds {
    let fleet = bounds();
    let cold = config(0).services.into_iter().map(|(name, service)| {
        let limit = service.cold_start.rate * fleet.cold_factor + fleet.cold_slack;
        (name, limit)
    });
    Bounds {
        answer_slack: ANSWER_SLACK,
        cold: cold.collect(),
        drain: DRAIN_LIMIT,
        evacuation: EVACUATION_LIMIT,
        lost: 0,
        memory: MAX_MEMORY,
        quotas: unit::Map::default(),
        quota_window: Span::ZERO,
        retries: RetryBound {
            extra: fleet.retry_extra,
            ratio: fleet.retry_ratio,
            window: fleet.retry_window,
        },
        settle: SUSPENSION_TAIL.into(),
    }
}

/// What a caller got; `None` if it found no daemon, so that nothing was sent.
fn outcome(outcome: Outcome) -> Option<judge::Outcome> {
    match outcome {
        Outcome::Failed => Some(judge::Outcome::Failed),
        Outcome::Mixed => Some(judge::Outcome::Wrong),
        Outcome::NotRun => Some(judge::Outcome::NotRun),
        Outcome::Served => Some(judge::Outcome::Served),
        Outcome::Unanswered => Some(judge::Outcome::Closed),
        Outcome::Unreachable => None,
    }
}
