use {
    crate::{Entry, Event, Outcome},
    unit::{Map, Name, Span, Time},
};

/// What a caller sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent<'a> {
    pub(crate) account: Option<&'a Name>,
    pub(crate) at: Time,
    pub(crate) daemon: &'a Name,
    pub(crate) idempotent: bool,
    pub(crate) max_attempts: u32,
    pub(crate) opened: Time,
    pub(crate) service: &'a Name,
    pub(crate) timeout: Span,
}

/// A request that reached a worker, or began to run there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Visit<'a> {
    pub(crate) at: Time,
    pub(crate) cold: bool,
    pub(crate) worker: &'a Name,
}

/// All that is known of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request<'a> {
    pub(crate) answer: Option<(Time, Outcome)>,
    /// When it reached workers, in order.
    pub(crate) arrivals: Vec<Visit<'a>>,
    /// When it began to run, in order.
    pub(crate) runs: Vec<Visit<'a>>,
    pub(crate) sent: Option<Sent<'a>>,
}

/// All requests by their ids, in the order in which they were first heard of.
#[derive(Debug, Default)]
pub(crate) struct Requests<'a> {
    index: Map<&'a str, usize>,
    list: Vec<(&'a Name, Request<'a>)>,
}

impl<'a> Requests<'a> {
    pub(crate) fn new(entries: &'a [Entry]) -> Self {
        let mut requests = Self::default();
        for entry in entries {
            requests.add(entry);
        }
        requests
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&'a Name, &Request<'a>)> {
        self.list.iter().map(|(id, request)| (*id, request))
    }

    /// Those that callers sent.
    pub(crate) fn sent(&self) -> impl Iterator<Item = (&'a Name, &Request<'a>, Sent<'a>)> {
        self.iter()
            .filter_map(|(id, request)| Some((id, request, request.sent?)))
    }

    fn add(&mut self, entry: &'a Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Answered { request, outcome } => {
                self.of(request).answer.get_or_insert((at, *outcome));
            }
            Event::Arrived {
                request,
                worker,
                cold,
            } => self.of(request).arrivals.push(Visit {
                at,
                cold: *cold,
                worker,
            }),
            Event::Began { request, worker } => self.of(request).runs.push(Visit {
                at,
                cold: false,
                worker,
            }),
            Event::Sent {
                request,
                account,
                daemon,
                idempotent,
                max_attempts,
                opened,
                service,
                timeout,
            } => {
                self.of(request).sent = Some(Sent {
                    account: account.as_ref(),
                    at,
                    daemon,
                    idempotent: *idempotent,
                    max_attempts: *max_attempts,
                    opened: *opened,
                    service,
                    timeout: *timeout,
                });
            }
            Event::Disrupted { .. }
            | Event::Drained { .. }
            | Event::Evacuated { .. }
            | Event::Joined { .. }
            | Event::PeakMemory { .. }
            | Event::Returned { .. } => {}
        }
    }

    fn of(&mut self, id: &'a Name) -> &mut Request<'a> {
        let next = self.list.len();
        let index = *self.index.entry(id).or_insert(next);
        if index == next {
            self.list.push((id, Request::default()));
        }
        &mut self.list[index].1
    }
}
