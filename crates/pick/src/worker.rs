use {
    crate::{
        Seat, Spec,
        lent::{Lease, Lent},
    },
    limit::{Estimate, Health, Pace, Ramp, Window},
    serde::Serialize,
    std::collections::VecDeque,
    unit::{Name, Span, Time},
};

/// Between two measuring requests out of one daemon's share: a little over a second, so that a
/// share never has two in one second.
const SHARE: Span = Span::millis(1_100);
/// Between two single requests to a slow worker.
const TRIAL: Span = Span::millis(500);

/// What one daemon knows of one worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Worker {
    /// The life that was last seen on a connection or heard of.
    pub(crate) boot: Option<u64>,
    /// Requests in flight from this daemon, by the time they were sent, oldest first.
    pub(crate) flying: VecDeque<(Time, u64)>,
    pub(crate) health: Health,
    /// Idle connections in the shell's pool.
    pub(crate) idle: u32,
    /// Connections being opened ahead of requests.
    pub(crate) dialing: u32,
    /// Whether a connection failed, so that the life must be looked at before more is sent.
    pub(crate) doubt: bool,
    pub(crate) lease: Lease,
    pub(crate) lent: Vec<Lent>,
    /// Peers that can't use its slots, and until when they get none.
    pub(crate) shunned: Vec<(Name, Time)>,
    /// Whether this daemon is its home.
    pub(crate) mine: bool,
    /// Answers' time against the usual time.
    pub(crate) ratio: Estimate,
    /// How much it bears; only its home goes by it.
    pub(crate) ramp: Ramp,
    /// Until when it gets no new work, since it refused some.
    pub(crate) rest: Time,
    pub(crate) seat: Seat,
    /// The last answer or, before the first, the start.
    pub(crate) seen: Time,
    /// This daemon's own share of the measuring budget.
    pub(crate) share: Pace,
    /// The earliest next single request while it is slow.
    pub(crate) trial: Time,
    /// The home's part of the measuring budget.
    pub(crate) window: Window,
}

impl Worker {
    pub(crate) fn new(now: Time, seat: Seat, spec: &Spec) -> Self {
        let mut window = Window::new(spec.home_probes());
        window.fill(now);
        Self {
            boot: None,
            dialing: 0,
            doubt: false,
            flying: VecDeque::new(),
            health: Health::default(),
            idle: 0,
            lease: Lease::default(),
            lent: Vec::new(),
            mine: false,
            ramp: Ramp::new(spec.cold, spec.slots),
            ratio: Estimate::default(),
            rest: now,
            seat,
            seen: now,
            shunned: Vec::new(),
            share: Pace::new(now, SHARE),
            trial: now,
            window,
        }
    }

    pub(crate) fn name(&self) -> &Name {
        &self.seat.name
    }

    pub(crate) fn busy(&self) -> u32 {
        u32::try_from(self.flying.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn lent(&self) -> u32 {
        self.lent.iter().map(|lent| lent.slots).sum()
    }

    /// Whether it bears its full load, as far as this daemon can know.
    pub(crate) fn warm(&self) -> bool {
        self.boot.is_some() && self.ramp.warm()
    }

    /// Requests that this daemon may have at the worker at once.
    pub(crate) fn allowed(&self, now: Time, spec: &Spec) -> u32 {
        if !spec.policy.lends() {
            spec.slots * 4
        } else if self.mine {
            self.ramp.allowed().saturating_sub(self.lent())
        } else if now < self.lease.until && self.boot == Some(self.lease.boot) {
            self.lease.slots
        } else {
            0
        }
    }

    pub(crate) fn free(&self, now: Time, spec: &Spec) -> u32 {
        self.allowed(now, spec).saturating_sub(self.busy())
    }

    /// Connections that this daemon may have to the worker.
    fn cap(&self, spec: &Spec, daemons: u32) -> u32 {
        (spec.conns / daemons.max(1)).max(1)
    }

    /// Whether a new connection is within the limits.
    pub(crate) fn can_dial(&mut self, now: Time, spec: &Spec, daemons: u32, feed: bool) -> bool {
        let open = self.idle + self.busy() + self.dialing;
        open < self.cap(spec, daemons) && (self.home_open(now, feed) || self.share_open(now))
    }

    /// Counts a new connection as a measuring request.
    pub(crate) fn dial(&mut self, now: Time, feed: bool) -> bool {
        if self.home_open(now, feed) {
            self.window.take(now)
        } else {
            self.share_open(now) && self.share.take(now)
        }
    }

    /// Whether a connection should be opened ahead of requests; `ready` are kept to a worker
    /// whose home is another daemon.
    pub(crate) fn wants_dial(&self, now: Time, ready: u32) -> bool {
        if self.health.out() && !self.health.due(now) {
            return false;
        }
        let have = self.idle + self.busy() + self.dialing;
        if !self.mine {
            return self.warm() && !self.health.out() && have < ready;
        }
        let unsure = self.boot.is_none() || self.doubt || self.health.out();
        if unsure {
            self.dialing == 0
        } else {
            have < self.ramp.allowed()
        }
    }

    fn home_open(&mut self, now: Time, feed: bool) -> bool {
        self.mine && feed && self.window.open(now)
    }

    fn share_open(&self, now: Time) -> bool {
        self.seat.share && self.share.open(now)
    }

    /// Whether it holds requests and has not answered any for longer than `patience`.
    pub(crate) fn stalled(&self, now: Time, patience: Span) -> bool {
        let oldest = self.flying.front().map(|(at, _)| *at);
        oldest.is_some_and(|at| now - at.max(self.seen) > patience)
    }

    /// Whether a single request may try a worker that is left out.
    pub(crate) fn trial_due(&self, now: Time) -> bool {
        let due = if self.health.out() {
            self.health.due(now)
        } else {
            now >= self.trial
        };
        due && self.flying.is_empty()
    }

    pub(crate) fn tried(&mut self, now: Time) {
        self.health.tried(now);
        self.trial = now + TRIAL;
    }

    /// Takes another life into account; returns whether it is a new one.
    pub(crate) fn reborn(&mut self, boot: u64) -> bool {
        let other = self.boot != Some(boot);
        if other {
            self.boot = Some(boot);
            self.ramp.bad();
            self.ratio.reset();
            self.health = Health::default();
            // Grants for the earlier life can't be used in this one.
            self.lent.clear();
            self.lease = Lease::default();
        }
        other
    }

    pub(crate) fn resize(&mut self, spec: &Spec) {
        self.ramp.resize(spec.cold, spec.slots);
        self.window.resize(spec.home_probes());
    }
}
