use {
    crate::{
        Action, Desk, Msg, Spec,
        lent::{KEEP, LAPSE, LEASE, Lease, Lent, RENEW, Wanted},
        worker::Worker,
    },
    fastrand::Rng,
    unit::{Name, Span, Time},
};

/// Between two times of asking for slots.
const ASK: Span = Span::millis(15);
/// How long what a peer lacks is taken for true.
const WANT: Span = Span::millis(25);
/// Homes that are asked at a time.
const HOMES: usize = 2;
/// How long a peer gets no slots of a worker that it can't use.
const SHUN: Span = Span::millis(300);
/// How long an own request waits before a home takes slots back.
const RECALL: Span = Span::millis(10);

impl Desk {
    pub(crate) fn peer(&mut self, now: Time, from: &Name, msg: Msg, out: &mut Vec<Action>) {
        match msg {
            Msg::Grant {
                boot,
                slots,
                worker,
            } => self.granted(now, from, &worker, boot, slots),
            Msg::Hold {
                slots,
                unfit,
                worker,
            } => {
                if unfit {
                    self.shun(now, from, &worker);
                }
                self.held_by(now, from, &worker, slots, out);
            }
            Msg::News { boot, warm, worker } => self.informed(from, &worker, boot, warm),
            Msg::Suspect { worker } => self.suspected(&worker, out),
            Msg::Want { age, slots } => self.wanted_by(now, from, Span::micros(age), slots),
        }
    }

    /// What is known of a worker, as its home tells it.
    pub(crate) fn news(&mut self, name: &str) -> Msg {
        let known = self.worker(name).map(|worker| (worker.boot, worker.warm()));
        let (boot, warm) = known.unwrap_or_default();
        Msg::News {
            boot: boot.unwrap_or_default(),
            warm,
            worker: name.to_owned(),
        }
    }

    /// Tells a new peer of this daemon's own workers.
    pub(crate) fn introduce(&mut self, peer: &Name, out: &mut Vec<Action>) {
        let known = |worker: &&Worker| worker.mine && worker.boot.is_some();
        let own: Vec<Name> = self
            .workers
            .iter()
            .filter(known)
            .map(|worker| worker.name().clone())
            .collect();
        for name in own {
            out.push(Action::Send(peer.clone(), self.news(&name)));
        }
    }

    /// Tells a worker's home that a connection to it failed; a home looks for itself.
    pub(crate) fn report_doubt(&mut self, name: &str, out: &mut Vec<Action>) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        let home = worker.seat.home.clone().filter(|_| !worker.mine);
        if let Some(home) = home {
            worker.lease = Lease::default();
            worker.doubt = false;
            let worker = name.to_owned();
            out.push(Action::Send(home, Msg::Suspect { worker }));
        }
    }

    fn suspected(&mut self, name: &str, out: &mut Vec<Action>) {
        if let Some(worker) = self.worker(name)
            && worker.mine
        {
            worker.doubt = true;
            worker.idle = 0;
            out.push(Action::Drop(worker.name().clone()));
        }
    }

    fn informed(&mut self, from: &Name, name: &str, boot: u64, warm: bool) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        if worker.mine || worker.seat.home.as_ref() != Some(from) {
            return;
        }
        worker.reborn(boot);
        if warm {
            worker.ramp.finish();
        } else {
            worker.ramp.bad();
        }
    }

    fn granted(&mut self, now: Time, from: &Name, name: &str, boot: u64, slots: u32) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        if worker.mine || worker.seat.home.as_ref() != Some(from) {
            return;
        }
        worker.reborn(boot);
        worker.ramp.finish();
        worker.doubt = false;
        worker.lease = Lease {
            boot,
            slots,
            told: now,
            until: now + LEASE,
            used: now,
        };
    }

    fn wanted_by(&mut self, now: Time, from: &Name, age: Span, slots: u32) {
        self.wanted
            .retain(|wanted| wanted.peer != *from && now < wanted.until);
        if slots > 0 {
            self.wanted.push(Wanted {
                peer: from.clone(),
                since: now.back(age),
                slots,
                until: now + WANT,
            });
        }
    }

    /// Since when the peer that has waited longest lacks slots.
    pub(crate) fn eldest_want(&mut self, now: Time) -> Option<Time> {
        self.wanted
            .retain(|wanted| wanted.slots > 0 && now < wanted.until);
        self.wanted.iter().map(|wanted| wanted.since).min()
    }

    /// Lends a slot to the peer that has waited longest; `false` where there is none to lend.
    ///
    /// A home whose own requests don't wait keeps half of its free slots for those to come.
    pub(crate) fn lend(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        let spec = self.spec;
        let patience = self.patience();
        let Some(wanted) = self.wanted.iter_mut().min_by_key(|wanted| wanted.since) else {
            return false;
        };
        let total: u32 = self
            .workers
            .iter()
            .map(|worker| lendable(worker, now, &spec, patience))
            .sum();
        let fit = |worker: &&mut Worker| {
            let shunned = |(peer, until): &(Name, Time)| *peer == wanted.peer && now < *until;
            lendable(worker, now, &spec, patience) > 0 && !worker.shunned.iter().any(shunned)
        };
        let best = self.workers.iter_mut().filter(fit);
        let best = best.max_by_key(|worker| lendable(worker, now, &spec, patience));
        let Some(worker) = best else {
            wanted.slots = 0;
            return total > 0;
        };
        let spare = if self.queue.is_empty() {
            total.div_ceil(2)
        } else {
            1
        };
        let slots = wanted
            .slots
            .min(lendable(worker, now, &spec, patience))
            .min(spare);
        wanted.slots -= slots;
        let all = add_lent(worker, &wanted.peer, slots, now);
        out.push(grant(&wanted.peer, worker, all));
        true
    }

    /// Grants a peer no more slots of a worker for a while.
    fn shun(&mut self, now: Time, peer: &Name, name: &str) {
        if let Some(worker) = self.worker(name) {
            worker
                .shunned
                .retain(|(other, until)| other != peer && now < *until);
            worker.shunned.push((peer.clone(), now + SHUN));
        }
    }

    fn held_by(&mut self, now: Time, from: &Name, name: &str, slots: u32, out: &mut Vec<Action>) {
        let pressed = self
            .queue
            .oldest()
            .is_some_and(|since| now - since > RECALL);
        let Some(worker) = self.worker(name) else {
            return;
        };
        if !worker.mine {
            return;
        }
        worker.lent.retain(|lent| lent.peer != *from);
        if slots == 0 {
            return;
        }
        let good = worker.seat.open && worker.warm() && !worker.health.out();
        let kept = if !good {
            0
        } else if pressed {
            slots - 1
        } else {
            slots
        };
        if kept > 0 {
            add_lent(worker, from, kept, now);
        }
        out.push(grant(from, worker, kept));
    }

    /// Gives back what isn't or can't be used, renews the rest, and drops what has lapsed.
    pub(crate) fn renew(&mut self, now: Time, out: &mut Vec<Action>) {
        let patience = self.patience();
        let (spec, daemons) = (self.spec, self.daemons);
        for worker in &mut self.workers {
            worker.lent.retain(|lent| now < lent.until);
            if worker.lease.slots == 0 {
                continue;
            }
            if now >= worker.lease.until {
                worker.lease = Lease::default();
                continue;
            }
            let busy = worker.busy();
            let free = busy < worker.lease.slots;
            let unfit = free && unfit(worker, now, &spec, daemons, patience);
            let spare = unfit || (free && now - worker.lease.used > KEEP);
            if spare {
                worker.lease.slots = busy;
                worker.lease.used = now;
            }
            if spare || now - worker.lease.told > RENEW {
                worker.lease.told = now;
                let hold = Msg::Hold {
                    slots: worker.lease.slots,
                    unfit,
                    worker: worker.name().to_string(),
                };
                if let Some(home) = worker.seat.home.clone() {
                    out.push(Action::Send(home, hold));
                }
            }
        }
    }

    /// Whether borrowed slots are free, which a lack of connections keeps from being used.
    fn holds_free(&self, now: Time) -> bool {
        let free = |worker: &Worker| !worker.mine && worker.free(now, &self.spec) > 0;
        self.workers.iter().any(free)
    }

    /// Asks homes for slots while requests wait.
    pub(crate) fn want(&mut self, now: Time, rng: &mut Rng, out: &mut Vec<Action>) {
        let Some(oldest) = self.queue.oldest() else {
            return;
        };
        if !self.spec.policy.lends() || now - self.asked < ASK || self.holds_free(now) {
            return;
        }
        self.asked = now;
        let mut homes: Vec<Name> = self
            .workers
            .iter()
            .filter(|worker| worker.seat.open && !worker.mine)
            .filter_map(|worker| worker.seat.home.clone())
            .collect();
        homes.sort_unstable();
        homes.dedup();
        rng.shuffle(&mut homes);
        homes.truncate(HOMES);
        let each = self.queue.len().div_ceil(homes.len().max(1));
        let msg = Msg::Want {
            age: (now - oldest).as_micros(),
            slots: u32::try_from(each).unwrap_or(u32::MAX),
        };
        out.extend(
            homes
                .into_iter()
                .map(|home| Action::Send(home, msg.clone())),
        );
    }
}

/// Whether borrowed slots of a worker can't be used now.
fn unfit(worker: &mut Worker, now: Time, spec: &Spec, daemons: u32, patience: Span) -> bool {
    let conn = worker.idle > 0 || worker.can_dial(now, spec, daemons, false);
    !conn
        || worker.health.out()
        || worker.ratio.slow()
        || worker.stalled(now, patience)
        || now < worker.rest
}

/// Slots of an own worker that may be lent.
fn lendable(worker: &Worker, now: Time, spec: &Spec, patience: Span) -> u32 {
    let good = worker.mine
        && worker.seat.open
        && worker.warm()
        && !worker.doubt
        && !worker.health.out()
        && !worker.ratio.slow()
        && !worker.stalled(now, patience)
        && now >= worker.rest;
    if good { worker.free(now, spec) } else { 0 }
}

/// Adds to what a peer holds of a worker, and returns the total.
fn add_lent(worker: &mut Worker, peer: &Name, slots: u32, now: Time) -> u32 {
    let until = now + LAPSE;
    match worker.lent.iter_mut().find(|lent| lent.peer == *peer) {
        Some(lent) => {
            lent.slots += slots;
            lent.until = until;
            lent.slots
        }
        None => {
            worker.lent.push(Lent {
                peer: peer.clone(),
                slots,
                until,
            });
            slots
        }
    }
}

fn grant(peer: &Name, worker: &Worker, slots: u32) -> Action {
    let msg = Msg::Grant {
        boot: worker.boot.unwrap_or_default(),
        slots,
        worker: worker.name().to_string(),
    };
    Action::Send(peer.clone(), msg)
}
