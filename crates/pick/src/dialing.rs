use {
    crate::{Action, Decision, Desk, desk::PROMPT},
    unit::Time,
};

/// Connections that an entry keeps ready to each worker whose home is another.
const READY: u32 = 3;

impl Desk {
    /// Notes that the opening of a connection has ended.
    pub(crate) fn dial_ended(&mut self, name: &str, ahead: bool) {
        if let Some(worker) = self.worker(name) {
            worker.dialing = worker.dialing.saturating_sub(u32::from(ahead));
        }
    }

    /// Takes the life that a new connection showed into account.
    pub(crate) fn dialed(
        &mut self,
        now: Time,
        name: &str,
        boot: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        let Some(boot) = boot else {
            worker.doubt = true;
            worker.health.exclude(now);
            return;
        };
        worker.idle += 1;
        worker.doubt = false;
        worker.seen = now;
        let fresh = worker.reborn(boot);
        let mine = worker.mine;
        let worker = worker.name().clone();
        if fresh && mine {
            out.push(Action::Note(Decision::Cold {
                why: "another life",
                worker: worker.clone(),
            }));
            out.push(Action::Tell(self.news(&worker)));
        } else if fresh {
            self.report_doubt(&worker, out);
        }
    }

    /// Opens connections before requests need them: to this daemon's own workers, and where it is
    /// an entry of the service, to the others.
    pub(crate) fn dial_ahead(&mut self, now: Time, out: &mut Vec<Action>) {
        let entry = self.workers.iter().any(|worker| worker.mine);
        if !self.spec.policy.lends() || !entry {
            return;
        }
        let feed = self.may_feed(now);
        let (spec, daemons) = (self.spec, self.daemons);
        for worker in self.workers.iter_mut().filter(|worker| worker.seat.open) {
            if worker.wants_dial(now, READY)
                && worker.can_dial(now, &spec, daemons, feed)
                && worker.dial(now, feed)
            {
                worker.dialing += 1;
                worker.health.tried(now);
                out.push(Action::Dial(worker.name().clone(), now + PROMPT));
            }
        }
    }
}
