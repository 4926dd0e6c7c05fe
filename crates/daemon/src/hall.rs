use {
    crate::callers::Callers,
    conf::Service,
    crossbeam::channel::{Receiver, Sender, bounded},
    fastrand::Rng,
    parking_lot::Mutex,
    pick::{Action, Desk, DeskReport, Event, Policy, Refusal, Spec},
    std::sync::Arc,
    unit::{Map, Name, Span, Time},
};

/// What a request that waits is told.
#[derive(Clone, Debug)]
pub(crate) enum Turn {
    /// Go to this worker.
    Go(Grant),
    /// Give up, and say when to come back.
    No(Span, Refusal),
}

/// A worker for a request.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// The life that a new connection must show.
    pub(crate) boot: Option<u64>,
    /// Until when a new connection may be opened; `None` where an idle one is to be used.
    pub(crate) dial: Option<Time>,
    /// When the worker must have ended it, where that is before the deadline.
    pub(crate) expires: Option<Time>,
    pub(crate) worker: Name,
}

/// A service's desk, with the requests that wait at it.
pub(crate) struct Hall {
    pub(crate) callers: Callers,
    inner: Mutex<Inner>,
    pub(crate) name: Name,
}

struct Inner {
    desk: Desk,
    rng: Rng,
    turns: Map<u64, Sender<Turn>>,
}

impl Hall {
    pub(crate) fn new(name: Name, me: Name, spec: Spec) -> Arc<Self> {
        let inner = Inner {
            desk: Desk::new(me, spec),
            rng: Rng::new(),
            turns: Map::default(),
        };
        Arc::new(Self {
            callers: Callers::default(),
            inner: Mutex::new(inner),
            name,
        })
    }

    /// Lets a request wait for its turns; a hedged one can have two.
    pub(crate) fn enter(&self, id: u64) -> Receiver<Turn> {
        let (sender, receiver) = bounded(4);
        self.inner.lock().turns.insert(id, sender);
        receiver
    }

    /// Ends a request's waiting; a turn that came too late is given back by the caller.
    pub(crate) fn exit(&self, id: u64) {
        self.inner.lock().turns.remove(&id);
    }

    /// Gives the desk an event, tells requests their turns, and returns the other actions.
    pub(crate) fn step(&self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        let mut inner = self.inner.lock();
        let Inner { desk, rng, turns } = &mut *inner;
        desk.step(now, event, rng, &mut out);
        out.retain(|action| {
            let Some((id, turn)) = turn(action) else {
                return true;
            };
            if let Some(sender) = turns.get(&id) {
                drop(sender.try_send(turn));
            }
            false
        });
        out
    }

    pub(crate) fn hedge_delay(&self) -> Option<Span> {
        self.inner.lock().desk.hedge_delay()
    }

    pub(crate) fn report(&self, now: Time) -> DeskReport {
        self.inner.lock().desk.report(now)
    }
}

fn turn(action: &Action) -> Option<(u64, Turn)> {
    match action {
        Action::Assign {
            boot,
            dial,
            expires,
            id,
            worker,
        } => {
            let grant = Grant {
                boot: *boot,
                dial: *dial,
                expires: *expires,
                worker: worker.clone(),
            };
            Some((*id, Turn::Go(grant)))
        }
        Action::Refuse { after, id, why } => Some((*id, Turn::No(*after, *why))),
        _ => None,
    }
}

/// A desk's limits as a service file has them.
pub(crate) fn spec(service: &Service, policy: conf::Policy) -> Spec {
    Spec {
        cold: service.cold,
        conns: service.conns,
        extra: service.extra,
        out: service.out,
        policy: match policy {
            conf::Policy::Alone => Policy::Alone,
            conf::Policy::Hedged => Policy::Hedged,
            conf::Policy::Lease => Policy::Lease,
        },
        probes: service.probes,
        queue: service.queue,
        slots: service.slots,
    }
}
