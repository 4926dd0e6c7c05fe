use {
    crate::{
        Action, Decision, DeskReport, Event, Job, Refusal, Spec, WorkerReport, choose::Choice,
        lent::Wanted, worker::Worker,
    },
    fastrand::Rng,
    limit::{Extra, Full, Quantile, Queue, Waiting},
    unit::{Map, Name, Span, Time},
};

/// How long a caller should stay away where no worker is open.
const NOBODY: Span = Span::secs(1);

/// How much longer a peer's request must have waited to go before an own one.
const PREFER: Span = Span::millis(5);
/// One in so many workers must have room before a hedge is sent.
const ROOMY: usize = 5;
/// How long after it was counted a measuring request may be made.
pub(crate) const PROMPT: Span = Span::millis(50);

/// A request that waits, with the worker that it must not get.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    job: Job,
    not: Option<Name>,
}

/// The part of one daemon that gives one service's requests to workers.
#[derive(Clone, Debug)]
pub struct Desk {
    /// When a home was last asked for slots.
    pub(crate) asked: Time,
    pub(crate) daemons: u32,
    /// The number of the view that the seats were made from.
    epoch: u64,
    pub(crate) extra: Extra,
    /// Until when this daemon may feed cold workers and measure.
    pub(crate) feed: Time,
    /// The requests in the queue.
    pub(crate) held: Map<u64, Held>,
    pub(crate) latency: Quantile,
    pub(crate) me: Name,
    pub(crate) queue: Queue,
    pub(crate) spec: Spec,
    pub(crate) wanted: Vec<Wanted>,
    /// Ordered by name, so that the same events give the same actions.
    pub(crate) workers: Vec<Worker>,
}

impl Desk {
    /// A desk without workers in the daemon `me`.
    pub fn new(me: Name, spec: Spec) -> Self {
        Self {
            asked: Time::ZERO,
            daemons: 1,
            epoch: 0,
            extra: Extra::new(spec.extra),
            feed: Time::ZERO,
            held: Map::default(),
            latency: Quantile::default(),
            me,
            queue: Queue::new(spec.queue),
            spec,
            wanted: Vec::new(),
            workers: Vec::new(),
        }
    }

    /// Takes an event and adds to `out` what to do.
    pub fn step(&mut self, now: Time, event: Event, rng: &mut Rng, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(job) => self.arrive(now, job, rng, out),
            Event::Dialed {
                ahead,
                boot,
                worker,
            } => {
                self.dial_ended(&worker, ahead);
                self.dialed(now, &worker, boot, out);
            }
            Event::End {
                id,
                reuse,
                verdict,
                worker,
            } => self.end(now, id, &worker, verdict, reuse, out),
            Event::Feed { epoch, until } if epoch == self.epoch => self.permit(now, until),
            Event::Feed { .. } => {}
            Event::Hedge { job, not } => self.hedge(now, job, &not, rng, out),
            Event::Leave(id) => drop(self.withdraw(id)),
            Event::Lost { conns, worker } => self.lost(&worker, conns),
            Event::Peer(from, msg) => self.peer(now, &from, msg, out),
            Event::PeerUp(peer) => self.introduce(&peer, out),
            Event::Retry { free, job, not } => self.retry(now, free, job, not, rng, out),
            Event::Seats {
                daemons,
                epoch,
                seats,
            } => {
                if epoch != self.epoch {
                    // The permission was for the earlier view's homes.
                    self.epoch = epoch;
                    self.feed = Time::ZERO;
                }
                self.seats(now, daemons, seats, out);
            }
            Event::Skipped(worker) => self.dial_ended(&worker, true),
            Event::Spec(spec) => self.respec(spec),
            Event::Tick => self.tick(now, out),
        }
        self.serve(now, rng, out);
    }

    /// The time after which an idempotent request is given to a second worker.
    pub fn hedge_delay(&self) -> Option<Span> {
        self.latency
            .high()
            .filter(|_| self.spec.policy != crate::Policy::Alone)
    }

    /// Its state, for the dump.
    pub fn report(&self, now: Time) -> DeskReport {
        DeskReport {
            spec: self.spec,
            waiting: self.queue.len(),
            workers: self
                .workers
                .iter()
                .map(|worker| self.describe(now, worker))
                .collect(),
        }
    }

    pub(crate) fn worker(&mut self, name: &str) -> Option<&mut Worker> {
        let at = self
            .workers
            .binary_search_by(|worker| (**worker.name()).cmp(name))
            .ok()?;
        self.workers.get_mut(at)
    }

    pub(crate) fn may_feed(&self, now: Time) -> bool {
        now < self.feed
    }

    fn describe(&self, now: Time, worker: &Worker) -> WorkerReport {
        WorkerReport {
            allowed: worker.allowed(now, &self.spec),
            boot: worker.boot,
            busy: worker.busy(),
            home: worker.seat.home.clone(),
            idle: worker.idle,
            lent: worker.lent(),
            name: worker.name().clone(),
            ratio: worker.ratio.ratio(),
            state: self.state(now, worker),
        }
    }

    fn state(&self, now: Time, worker: &Worker) -> &'static str {
        if !worker.seat.open {
            "closed"
        } else if worker.health.out() {
            "failing"
        } else if !worker.warm() {
            "cold"
        } else if worker.ratio.slow() {
            "slow"
        } else if worker.stalled(now, self.patience()) {
            "stalled"
        } else {
            "open"
        }
    }

    fn arrive(&mut self, now: Time, job: Job, rng: &mut Rng, out: &mut Vec<Action>) {
        if !job.extra {
            self.extra.earn(job.depth);
        }
        self.place(now, job, None, rng, out);
    }

    /// Gives a request to a worker, lets it wait, or refuses it.
    fn place(
        &mut self,
        now: Time,
        job: Job,
        not: Option<Name>,
        rng: &mut Rng,
        out: &mut Vec<Action>,
    ) {
        if !self.workers.iter().any(|worker| worker.seat.open) {
            out.push(refusal(job.id, NOBODY, Refusal::Nobody, rng));
            return;
        }
        if self.queue.is_empty()
            && let Some(choice) = self.choose(now, &job, not.as_deref(), rng)
        {
            self.assign(now, &job, &choice, out);
            self.queue.depart(now, false);
            return;
        }
        let waiting = Waiting {
            deadline: job.deadline,
            id: job.id,
            since: now,
        };
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        match self.queue.push(now, job.lane, waiting) {
            Err(Full(after)) => out.push(refusal(job.id, after, Refusal::Full, rng)),
            Ok(()) => {
                self.held.insert(job.id, Held { job, not });
                out.push(Action::Note(Decision::Queued { ahead, id: job.id }));
            }
        }
    }

    fn assign(&mut self, now: Time, job: &Job, choice: &Choice, out: &mut Vec<Action>) {
        let feed = self.feed;
        let may = self.may_feed(now);
        let alone = !self.spec.policy.lends();
        let Some(worker) = self.workers.get_mut(choice.index) else {
            return;
        };
        let dial = worker.idle == 0;
        if dial {
            worker.dial(now, may);
        } else {
            worker.idle -= 1;
        }
        if choice.trial {
            worker.tried(now);
        }
        worker.flying.push_back((now, job.id));
        if worker.busy() >= worker.lease.slots {
            worker.lease.used = now;
        }
        let cold = worker.mine && !worker.ramp.warm() && !alone;
        out.push(Action::Assign {
            boot: worker.boot.filter(|_| !alone),
            dial: dial.then(|| now + PROMPT),
            expires: cold.then(|| feed.min(job.deadline)),
            id: job.id,
            worker: worker.name().clone(),
        });
        out.push(Action::Note(Decision::Chosen {
            free: choice.free,
            id: job.id,
            passed: choice.passed,
            worker: worker.name().clone(),
        }));
    }

    /// Serves waiting requests, here and at peers, oldest first, while there are free slots.
    fn serve(&mut self, now: Time, rng: &mut Rng, out: &mut Vec<Action>) {
        loop {
            let own = self.queue.oldest();
            let other = self.eldest_want(now);
            let served = match (own, other) {
                (None, None) => break,
                (Some(since), Some(want)) if want + PREFER < since => {
                    self.lend(now, out) || self.serve_own(now, rng, out)
                }
                (Some(_), _) => self.serve_own(now, rng, out),
                (None, Some(_)) => self.lend(now, out),
            };
            if !served {
                break;
            }
        }
        self.want(now, rng, out);
    }

    fn serve_own(&mut self, now: Time, rng: &mut Rng, out: &mut Vec<Action>) -> bool {
        let need = self.latency.middle().unwrap_or_default();
        let Some((lane, waiting)) = self.queue.pop(now, need) else {
            return false;
        };
        let Some(held) = self.held.get(&waiting.id).cloned() else {
            return true;
        };
        match self.choose(now, &held.job, held.not.as_deref(), rng) {
            Some(choice) => {
                self.held.remove(&waiting.id);
                self.assign(now, &held.job, &choice, out);
                self.queue.depart(now, true);
                true
            }
            None => {
                self.queue.put_back(lane, waiting);
                false
            }
        }
    }

    fn hedge(&mut self, now: Time, job: Job, not: &str, rng: &mut Rng, out: &mut Vec<Action>) {
        if job.once || job.extra || !self.queue.is_empty() || !self.extra.take() {
            return;
        }
        match self.choose(now, &job, Some(not), rng) {
            Some(choice) if !choice.trial && self.roomy(&choice) => {
                self.assign(now, &job, &choice, out);
            }
            _ => self.extra.give(),
        }
    }

    /// Whether so many workers have room that a hedge takes it from nobody.
    fn roomy(&self, choice: &Choice) -> bool {
        choice.free as usize * ROOMY >= self.workers.len()
    }

    fn retry(
        &mut self,
        now: Time,
        free: bool,
        job: Job,
        not: Name,
        rng: &mut Rng,
        out: &mut Vec<Action>,
    ) {
        let late = now >= job.deadline;
        if late || !(free || (!job.extra && self.extra.take())) {
            let why = if late {
                Refusal::Deadline
            } else {
                Refusal::Budget
            };
            out.push(refusal(job.id, self.queue.wait(), why, rng));
            return;
        }
        self.place(now, job, Some(not), rng, out);
    }

    fn withdraw(&mut self, id: u64) -> bool {
        self.held.remove(&id);
        self.queue.remove(id)
    }

    fn lost(&mut self, name: &str, conns: u32) {
        if let Some(worker) = self.worker(name) {
            worker.idle = worker.idle.saturating_sub(conns);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let after = self.queue.wait();
        for waiting in self.queue.expire(now) {
            self.held.remove(&waiting.id);
            out.push(Action::Refuse {
                after,
                id: waiting.id,
                why: Refusal::Deadline,
            });
        }
        self.dial_ahead(now, out);
        self.renew(now, out);
    }
}

/// A refusal whose time to come back is spread by up to a half, so that callers don't come back
/// together.
fn refusal(id: u64, after: Span, why: Refusal, rng: &mut Rng) -> Action {
    let spread = Span::micros(rng.u64(0..=after.as_micros() / 2));
    Action::Refuse {
        after: after + spread,
        id,
        why,
    }
}
