use {
    crate::{Action, Decision, Desk, Refusal, Seat, Spec, lent::Lease, worker::Worker},
    unit::Time,
};

impl Desk {
    /// Notes until when this daemon may feed cold workers and measure.
    ///
    /// Where it gains the permission, another home may have used up the budgets just before.
    pub(crate) fn permit(&mut self, now: Time, until: Time) {
        let gained = !self.may_feed(now) && until > now;
        self.feed = until;
        if gained {
            for worker in &mut self.workers {
                worker.window.fill(now);
            }
        }
    }

    /// Takes new places of the workers into account.
    pub(crate) fn seats(
        &mut self,
        now: Time,
        daemons: u32,
        mut seats: Vec<Seat>,
        out: &mut Vec<Action>,
    ) {
        let before = self
            .workers
            .iter()
            .filter(|worker| worker.seat.open)
            .count();
        self.daemons = daemons;
        seats.sort_by(|a, b| a.name.cmp(&b.name));
        let mut old = std::mem::take(&mut self.workers);
        for seat in seats {
            let at = old.iter().position(|worker| *worker.name() == seat.name);
            let mut worker = match at {
                Some(at) => old.swap_remove(at),
                None => Worker::new(now, seat.clone(), &self.spec),
            };
            let mine = seat.home.as_ref() == Some(&self.me);
            if mine && !worker.mine {
                out.push(Action::Note(Decision::Home(seat.name.clone())));
            }
            if mine != worker.mine {
                worker.lent.clear();
                worker.lease = Lease::default();
            }
            worker.mine = mine;
            worker.seat = seat;
            self.workers.push(worker);
        }
        for gone in old {
            out.push(Action::Drop(gone.name().clone()));
        }
        let after = self
            .workers
            .iter()
            .filter(|worker| worker.seat.open)
            .count();
        if after < before {
            self.shed(out);
        }
    }

    /// Refuses deferrable requests that wait, so that the workers that stay have room.
    pub(crate) fn shed(&mut self, out: &mut Vec<Action>) {
        let after = self.queue.wait();
        for waiting in self.queue.shed() {
            self.held.remove(&waiting.id);
            out.push(Action::Refuse {
                after,
                id: waiting.id,
                why: Refusal::Leaving,
            });
        }
    }

    pub(crate) fn respec(&mut self, spec: Spec) {
        self.spec = spec;
        self.extra.resize(spec.extra);
        self.queue.resize(spec.queue);
        for worker in &mut self.workers {
            worker.resize(&spec);
        }
    }
}
