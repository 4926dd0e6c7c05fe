//! How a request finds a worker.

use {
    crate::{
        CallAction, CallId, Decision, LinkId, ProbeFailure,
        call::{Ask, Call, Offer, Search},
        dispatcher::Dispatcher,
    },
    pick::{Criteria, Standing, WorkerKey},
    site::HealthReport,
    std::cmp::Reverse,
    unit::{Span, Time},
};

/// How long a worker that was warm is taken for warm without being asked. It may turn cold at any
/// moment, and what all daemons send it before they notice counts.
const WARM_FOR: Span = Span::millis(30);
/// Requests that a worker gets, beyond the one that asked, before it must be asked again.
const UNASKED: u32 = 2;
/// How long a worker that answered is taken for alive without being asked.
const ALIVE_FOR: Span = Span::millis(500);
/// How many times the typical work must still fit into the objective while a request waits for a
/// better worker.
const WAIT_MARGIN: f64 = 1.4;

impl Dispatcher {
    /// Asks the next worker, or settles where enough were asked.
    pub(crate) fn search(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.asked.len() >= self.policy.max_probes {
            self.settle(now, id);
            return;
        }
        let mut skip = [&call.asked[..], &call.tried[..]].concat();
        let (excluded, asked) = (call.tried.len(), skip.len());
        let call = call.clone();
        let patient = call.waited && self.may_wait(now, &call);
        let service = call.service.clone();
        let bound = self.policy.bounds.probe_rate;
        loop {
            let wanted = Criteria {
                skip_busy: patient,
                excluded: &skip,
                service: &service,
            };
            let Some(choice) = self.table.select(now, &wanted, &mut self.rng) else {
                if skip.len() == excluded && !patient {
                    // There is no worker to wait for.
                    self.give_up(now, id);
                } else if skip.len() > asked {
                    self.choose_unasked(now, id);
                } else {
                    self.settle(now, id);
                }
                return;
            };
            // Workers that failed or leave are asked only where nothing better was found.
            let held = self.calls.get(&id).is_some_and(|call| call.offer.is_some());
            if held && choice.standing >= Standing::Suspect {
                self.settle(now, id);
                return;
            }
            if self.table.take_probe_permit(choice.key, now, bound) {
                self.ask(now, id, choice.key);
                return;
            }
            skip.push(choice.key);
        }
    }

    pub(crate) fn ask(&mut self, now: Time, id: CallId, worker: WorkerKey) {
        let until = now + self.policy.probe_timeout;
        if let Some(link) = self.begin_ask(id, worker, until, None) {
            self.actions.push(CallAction::Probe { link, worker });
        }
    }

    fn begin_ask(
        &mut self,
        id: CallId,
        worker: WorkerKey,
        until: Time,
        permit: Option<Time>,
    ) -> Option<LinkId> {
        let call = self.calls.get_mut(&id)?;
        let link = LinkId(self.next_link);
        self.next_link += 1;
        call.asked.push(worker);
        call.ask = Some(Ask {
            link,
            permit,
            until,
            worker,
        });
        self.links.insert(link, id);
        self.timers.push(Reverse((until, id)));
        Some(link)
    }

    /// Where the health requests that the daemon may make are spent, goes by what is known of the
    /// workers. This answers load of more requests a worker and second than those.
    pub(crate) fn choose_unasked(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        if call.offer.is_some() {
            self.settle(now, id);
            return;
        }
        let mut skip = [&call.asked[..], &call.tried[..]].concat();
        loop {
            let wanted = Criteria {
                skip_busy: false,
                excluded: &skip,
                service: &call.service,
            };
            let choice = self.table.select(now, &wanted, &mut self.rng);
            let Some(choice) = choice.filter(|choice| choice.standing <= Standing::Suspect) else {
                self.settle(now, id);
                return;
            };
            if self.seems_free(now, &call, choice.key, choice.standing)
                && self.open(now, &call, id, choice.key)
            {
                return;
            }
            skip.push(choice.key);
        }
    }

    /// Whether a worker has room as far as is known.
    pub(crate) fn seems_free(
        &mut self,
        now: Time,
        call: &Call,
        worker: WorkerKey,
        standing: Standing,
    ) -> bool {
        let Some(belief) = self.table.get(worker) else {
            return false;
        };
        let load = belief.load(now);
        let room = load.is_none_or(|(load, _)| self.has_room(call, load));
        let heard = load.is_some_and(|(_, age)| age < ALIVE_FOR);
        // One that failed must at least have answered just now.
        let sound = standing == Standing::Usable || heard;
        room && sound
    }

    /// Has a connection made ready to a worker that may get work without being asked.
    fn open(&mut self, now: Time, call: &Call, id: CallId, worker: WorkerKey) -> bool {
        let warm = self
            .table
            .take_unprobed_permit(worker, now, WARM_FOR, UNASKED);
        if !warm && !self.take_cold(now, call, worker) {
            return false;
        }
        let until = now + self.policy.probe_timeout;
        if let Some(link) = self.begin_ask(id, worker, until, (!warm).then_some(now)) {
            self.actions.push(CallAction::Connect { link, worker });
        }
        true
    }

    /// The question that waits for word on a connection, which ends it, and whose it is.
    fn take_ask(&mut self, link: LinkId) -> Option<(CallId, Ask)> {
        let id = self.links.get(&link).copied()?;
        let call = self.calls.get_mut(&id)?;
        let ask = call.ask.take_if(|ask| ask.link == link)?;
        Some((id, ask))
    }

    pub(crate) fn opened(&mut self, now: Time, link: LinkId, result: Result<(), ProbeFailure>) {
        let Some((id, ask)) = self.take_ask(link) else {
            return;
        };
        if let Err(failure) = result {
            self.links.remove(&link);
            if let Some(taken) = ask.permit {
                self.table.return_cold_permit(ask.worker, taken);
            }
            self.passed(now, id, ask.worker, Some(failure), None);
            self.search(now, id);
            return;
        }
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let work = *self.work(&call);
        let Some(belief) = self.table.get(ask.worker) else {
            self.drop_link(link);
            self.search(now, id);
            return;
        };
        let offer = Offer {
            cold: belief.is_cold(now),
            expected: belief.expected_latency(now, &work),
            link,
            load: belief.load(now).map(|(load, _)| load),
            permit: ask.permit,
            worker: ask.worker,
        };
        self.send(now, id, offer);
    }

    pub(crate) fn asked(
        &mut self,
        now: Time,
        link: LinkId,
        health: Result<HealthReport, ProbeFailure>,
    ) {
        let Some((id, ask)) = self.take_ask(link) else {
            return;
        };
        match health {
            Ok(health) => self.room(now, id, ask, &health),
            Err(failure) => {
                self.links.remove(&link);
                if failure != ProbeFailure::NoConnection {
                    self.table.record_unreachable(ask.worker, now);
                }
                self.passed(now, id, ask.worker, Some(failure), None);
                self.search(now, id);
            }
        }
    }

    /// Takes the best offer, waits for a better one, or gives up.
    pub(crate) fn settle(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let may_wait = self.may_wait(now, &call);
        match call.offer {
            Some(offer) if offer.expected <= call.left(now) || !may_wait => {
                self.send(now, id, offer);
            }
            _ if call.search == Search::Hedge => self.stop_hedge(now, id),
            _ if may_wait => self.pause(now, id),
            Some(offer) => self.send(now, id, offer),
            None => self.give_up(now, id),
        }
    }

    /// Whether the objective can still be met after another pause.
    pub(crate) fn may_wait(&mut self, now: Time, call: &Call) -> bool {
        let usual = self.work(call).baseline();
        call.left(now) > usual.scale(WAIT_MARGIN) + self.policy.backoff
    }

    pub(crate) fn pause(&mut self, now: Time, id: CallId) {
        let jitter = 0.5 + self.rng.f64();
        let span = self.policy.backoff.scale(jitter);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.asked.clear();
        call.pause = Some(now + span);
        call.waited = true;
        let offer = call.offer.take();
        self.timers.push(Reverse((now + span, id)));
        self.note(now, id, Decision::Backoff(span));
        if let Some(offer) = offer {
            self.decline(&offer);
        }
    }
}
