//! Worker selection: probing workers until one can take the request, backing off if none can.

use {
    crate::{
        CallAction, CallId, Decision, LinkId, ProbeFailure,
        call::{Call, Candidate, Probe, SelectionState},
        dispatcher::Dispatcher,
    },
    pick::{Criteria, Standing, WorkerKey},
    site::HealthReport,
    std::cmp::Reverse,
    unit::{Span, Time},
};

/// How long after a probe a worker that was warm still counts as warm. The worker may become
/// cold at any moment, and all that the daemons send before they notice counts towards the limit on
/// requests to a cold worker.
pub(crate) const WARM_MAX_AGE: Span = Span::millis(30);
/// How many requests a worker may get without a probe after each probe, beyond the request that
/// probed it.
const MAX_UNPROBED: u32 = 2;
/// How long after reporting its load a worker that failed lately counts as alive without a probe.
const ALIVE_MAX_AGE: Span = Span::millis(500);
/// A request backs off only while this many times its typical latency still fits into the
/// latency objective after the backoff.
const BACKOFF_MARGIN: f64 = 1.4;
/// How long after a probe's timeout its end may be handled. If it takes longer, this process was
/// paused, and what the probe found out is outdated.
const MAX_PROBE_DELAY: Span = Span::millis(250);

impl Dispatcher {
    /// Probes the next worker, or concludes the round if enough workers were probed.
    pub(crate) fn select_worker(&mut self, now: Time, id: CallId) {
        if !self.may_run(now, id) {
            self.stop_selection(now, id);
            return;
        }
        if self.wants_forward(now, id) && self.forward(now, id) {
            return;
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let max_answers = if call.backed_off {
            self.policy.waiting_answers
        } else {
            self.policy.max_answers
        };
        if call.probed.len() >= self.policy.max_probes || call.answers >= max_answers {
            self.conclude_selection(now, id);
            return;
        }
        let excluded = [&call.probed[..], &call.sent_to[..]].concat();
        let none_probed = call.probed.is_empty();
        let has_candidate = call.candidate.is_some();
        let call = call.clone();
        let skip_busy = call.backed_off && self.may_back_off(now, &call);
        let probe_limit = self.policy.bounds.probe_rate;
        let criteria = Criteria {
            canary: call.canary,
            skip_busy,
            excluded: &excluded,
            service: &call.service,
        };
        let mut any_passed_over = false;
        let mut any_held = false;
        for selected in self.table.rank(now, &criteria, &mut self.rng) {
            // Workers that failed lately, reject requests or are leaving are probed only if there is
            // no candidate yet.
            if has_candidate && (selected.demoted || selected.standing >= Standing::Suspect) {
                self.conclude_selection(now, id);
                return;
            }
            if self.must_hold(now, &call, selected) {
                any_held = true;
                continue;
            }
            if self.table.take_probe_permit(selected.key, now, probe_limit) {
                self.send_probe(now, id, selected.key);
                return;
            }
            any_passed_over = true;
        }
        if any_held {
            self.count_held(&call.service);
        }
        if any_passed_over {
            // The workers that are left may get no more probes from this daemon now.
            self.select_unprobed(now, id);
        } else if none_probed && !skip_busy && !any_held {
            // Only workers that got the request already are excluded, so there is no worker to
            // wait for.
            if !self.leave_canary(now, id) {
                self.give_up(now, id);
            }
        } else {
            self.conclude_selection(now, id);
        }
    }

    /// Sends a health probe to a worker.
    pub(crate) fn send_probe(&mut self, now: Time, id: CallId, worker: WorkerKey) {
        let deadline = now + self.policy.probe_timeout;
        if let Some(link) = self.start_probe(id, worker, deadline, None) {
            self.actions.push(CallAction::Probe { link, worker });
        }
    }

    /// Registers a probe, or a connection without one, under a new link and sets its timeout.
    fn start_probe(
        &mut self,
        id: CallId,
        worker: WorkerKey,
        deadline: Time,
        cold_permit: Option<Time>,
    ) -> Option<LinkId> {
        let call = self.calls.get_mut(&id)?;
        let link = LinkId(self.next_link);
        self.next_link += 1;
        call.probed.push(worker);
        call.probe = Some(Probe {
            link,
            cold_permit,
            deadline,
            worker,
        });
        self.links.insert(link, id);
        self.timers.push(Reverse((deadline, id)));
        Some(link)
    }

    /// Selects a worker by what is known of it once this daemon's share of health probes is used
    /// up. Without this, a worker could not get more requests per second than it may get probes.
    pub(crate) fn select_unprobed(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        if call.candidate.is_some() {
            self.conclude_selection(now, id);
            return;
        }
        let excluded = [&call.probed[..], &call.sent_to[..]].concat();
        let criteria = Criteria {
            canary: call.canary,
            skip_busy: false,
            excluded: &excluded,
            service: &call.service,
        };
        let ranking = self.table.rank(now, &criteria, &mut self.rng);
        for selected in ranking.take_while(|selected| selected.standing <= Standing::Suspect) {
            if !self.must_hold(now, &call, selected)
                && self.likely_free(now, &call, selected.key, selected.standing)
                && self.connect_unprobed(now, &call, id, selected.key)
            {
                return;
            }
        }
        self.conclude_selection(now, id);
    }

    /// Whether a worker can take the request as far as is known without a probe.
    pub(crate) fn likely_free(
        &mut self,
        now: Time,
        call: &Call,
        worker: WorkerKey,
        standing: Standing,
    ) -> bool {
        let Some(record) = self.table.get(worker) else {
            return false;
        };
        let load = record.load(now);
        let room = load.is_none_or(|(load, _)| self.fits(now, call, worker, load));
        let alive = load.is_some_and(|(_, age)| age < ALIVE_MAX_AGE);
        // A worker that failed lately must at least have reported its load a short time ago.
        let usable = standing == Standing::Usable || alive;
        room && usable
    }

    /// Asks for a connection to a worker if it may get the request without a probe: it was warm a
    /// short time ago, or a permit for a cold worker can be had. Returns whether that was so.
    fn connect_unprobed(&mut self, now: Time, call: &Call, id: CallId, worker: WorkerKey) -> bool {
        let warm = self
            .table
            .take_unprobed_permit(worker, now, WARM_MAX_AGE, MAX_UNPROBED);
        if !warm && !self.take_cold_permit(now, call, worker) {
            return false;
        }
        let deadline = now + self.policy.probe_timeout;
        if let Some(link) = self.start_probe(id, worker, deadline, (!warm).then_some(now)) {
            self.actions.push(CallAction::Connect { link, worker });
        }
        true
    }

    /// Takes the probe that waits on a link, with the request that it was made for. `None` if it
    /// was abandoned or its request has ended.
    fn end_probe(&mut self, link: LinkId) -> Option<(CallId, Probe)> {
        let id = self.links.get(&link).copied()?;
        let call = self.calls.get_mut(&id)?;
        let probe = call.probe.take_if(|probe| probe.link == link)?;
        Some((id, probe))
    }

    /// Sends the request on a connection that is ready without a probe, or selects another worker
    /// if the connection failed.
    pub(crate) fn connect_ended(
        &mut self,
        now: Time,
        link: LinkId,
        result: Result<(), ProbeFailure>,
    ) {
        let Some((id, probe)) = self.end_probe(link) else {
            return;
        };
        let result = if is_outdated(now, &probe) {
            self.close_link(link);
            Err(ProbeFailure::TimedOut)
        } else {
            result
        };
        if let Err(failure) = result {
            self.links.remove(&link);
            if let Some(permit) = probe.cold_permit {
                self.table.return_cold_permit(probe.worker, permit);
            }
            self.record_skip(now, id, probe.worker, Some(failure), None);
            self.select_worker(now, id);
            return;
        }
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let estimate = *self.latency_estimate(&call);
        let Some(record) = self.table.get(probe.worker) else {
            self.close_link(link);
            self.select_worker(now, id);
            return;
        };
        let candidate = Candidate {
            cold: record.is_cold(now),
            expected: record.expected_latency(now, &estimate),
            found_at: now,
            link,
            load: record.load(now).map(|(load, _)| load),
            cold_permit: probe.cold_permit,
            worker: probe.worker,
        };
        self.send(now, id, candidate);
    }

    /// Handles the response to a probe, or selects another worker if the probe failed.
    pub(crate) fn probe_ended(
        &mut self,
        now: Time,
        link: LinkId,
        health: Result<HealthReport, ProbeFailure>,
    ) {
        if let Some(trial) = self.trials.remove(&link) {
            self.trial_ended(now, link, &trial, health);
            return;
        }
        let Some((id, probe)) = self.end_probe(link) else {
            return;
        };
        match health {
            Ok(_) if is_outdated(now, &probe) => {
                self.release_link(link);
                self.record_skip(now, id, probe.worker, Some(ProbeFailure::TimedOut), None);
                self.select_worker(now, id);
            }
            Ok(health) => self.probe_succeeded(now, id, probe, &health),
            Err(failure) => {
                self.links.remove(&link);
                if failure != ProbeFailure::NoConnection {
                    self.table.record_unreachable(probe.worker, now);
                    self.note_failed(now, probe.worker);
                }
                self.record_skip(now, id, probe.worker, Some(failure), None);
                self.select_worker(now, id);
            }
        }
    }

    /// Ends a round of worker selection: sends the request to the candidate, backs off to wait for
    /// a better one, stops a hedge, or gives up.
    pub(crate) fn conclude_selection(&mut self, now: Time, id: CallId) {
        if self.leave_canary(now, id) {
            return;
        }
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let may_back_off = self.may_back_off(now, &call);
        match call.candidate {
            Some(candidate) if candidate.expected <= call.objective_left(now) || !may_back_off => {
                self.send(now, id, candidate);
            }
            _ if call.selection == SelectionState::Hedge => self.stop_hedge(now, id),
            _ if may_back_off && self.admits_wait(now, id) => self.back_off(now, id),
            None if may_back_off => self.shed(now, id),
            Some(candidate) => self.send(now, id, candidate),
            None => self.give_up(now, id),
        }
    }

    /// Whether the latency objective can likely still be met after another backoff, and before this
    /// daemon stops.
    pub(crate) fn may_back_off(&self, now: Time, call: &Call) -> bool {
        now < call.arrived_at + self.backoff_limit(call)
            && self.fits_stop(now, self.needed_after_backoff(call))
    }

    /// How long after its arrival a request stops to back off.
    pub(crate) fn backoff_limit(&self, call: &Call) -> Span {
        let objective = call.route.objective;
        objective.saturating_sub(self.needed_after_backoff(call))
    }

    /// How long a request likely takes from the beginning of a backoff.
    pub(crate) fn needed_after_backoff(&self, call: &Call) -> Span {
        let latency = self.known_latency(call).baseline();
        latency.scale(BACKOFF_MARGIN) + self.policy.backoff
    }

    /// Discards the candidate and starts a new round of worker selection after a jittered backoff.
    pub(crate) fn back_off(&mut self, now: Time, id: CallId) {
        let jitter = 0.5 + self.rng.f64();
        let delay = self.policy.backoff.scale(jitter);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.clear_round();
        call.backoff_until = Some(now + delay);
        call.backed_off = true;
        let candidate = call.candidate.take();
        self.timers.push(Reverse((now + delay, id)));
        self.record(now, id, Decision::Backoff(delay));
        if let Some(candidate) = candidate {
            self.discard_candidate(&candidate);
        }
    }
}

/// Whether a probe's end is handled so late that this process was paused meanwhile.
fn is_outdated(now: Time, probe: &Probe) -> bool {
    now > probe.deadline + MAX_PROBE_DELAY
}
