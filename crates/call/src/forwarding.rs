//! Forwarding of requests to another daemon while this one can't reach the workers, and the trials
//! that show when it reaches them again.

use {
    crate::{
        CallAction, CallError, CallId, Decision, ForwardOrder, LinkId, ProbeFailure,
        call::{Call, SelectionState},
        dispatcher::Dispatcher,
        sending::MIN_REMAINING,
    },
    pick::WorkerKey,
    site::HealthReport,
    std::net::Ipv4Addr,
    unit::{Name, Time},
};

/// How many helpers are asked to take one request.
const MAX_HELPERS: usize = 3;

/// How a forwarded request ended, as the daemon reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardEnding {
    /// The helper passes on a worker's response.
    Answered,
    /// No byte was sent, or the helper doesn't take the request: nothing was sent to a worker.
    Declined,
    /// The helper couldn't have it served.
    Failed(CallError),
}

/// A request in flight at a helper.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forward {
    pub(crate) helper: Ipv4Addr,
    pub(crate) link: LinkId,
    /// The worker selection in whose place it was forwarded.
    selection: SelectionState,
}

/// A health probe, for no request, by which a daemon that is cut off learns whether it still is.
#[derive(Clone, Debug)]
pub(crate) struct Trial {
    /// When it times out.
    pub(crate) deadline: Time,
    pub(crate) service: Name,
    pub(crate) worker: WorkerKey,
}

impl Dispatcher {
    /// Whether a request is to be forwarded: this daemon is cut off from its service's workers, or
    /// was until a moment ago.
    pub(crate) fn wants_forward(&mut self, now: Time, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        if call.candidate.is_some() {
            return false;
        }
        let reach = self.reaches.get_mut(&call.service);
        reach.is_some_and(|reach| !reach.admits(now, &mut self.rng))
    }

    /// Whether a request that would be refused is to be forwarded instead, since none of the workers
    /// that it was meant for could be reached.
    pub(crate) fn may_forward_instead(&self, now: Time, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let reach = self.reaches.get(&call.service);
        !call.reached
            && call.may_send()
            && (call.is_idempotent() || !call.maybe_ran)
            && reach.is_some_and(forward::Reach::has_failed)
            && self.may_run(now, id)
    }

    /// Forwards a request to a helper, if there is one and the request may be forwarded. Returns
    /// whether it was.
    pub(crate) fn forward(&mut self, now: Time, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let left = call.deadline.since(now);
        let allowed = !call.from_peer
            && call.forward.is_none()
            && call.asked.len() < MAX_HELPERS
            && call.may_send()
            && left >= MIN_REMAINING
            && self.fits_stop(now, self.known_latency(call).baseline().min(left));
        if !allowed {
            return false;
        }
        let (service, selection) = (call.service.clone(), call.selection);
        let (repeat, first) = (call.sends > 0, call.asked.is_empty());
        let attempts = call.max_attempts - call.sends;
        let helper = self.helpers.choose(
            now,
            &service,
            &call.asked,
            call.account.is_some(),
            &mut self.rng,
        );
        let Some(helper) = helper else {
            return false;
        };
        // One permit serves all helpers that are asked: only one of them takes the request.
        if repeat && first && !self.take_retry_permit(now, id, &service, selection) {
            return false;
        }
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.links.insert(link, id);
        self.helpers.record_forwarded(helper);
        self.record(now, id, Decision::Forwarded(helper));
        if let Some(call) = self.calls.get_mut(&id) {
            call.asked.push(helper);
            call.clear_round();
            call.selection = SelectionState::Idle;
            call.forward = Some(Forward {
                helper,
                link,
                selection,
            });
        }
        self.actions.push(CallAction::Forward(ForwardOrder {
            attempts,
            call: id,
            helper,
            link,
            time_left: left,
        }));
        true
    }

    /// Handles the end of a forwarded request.
    pub(crate) fn forward_ended(&mut self, now: Time, link: LinkId, ending: ForwardEnding) {
        let Some(id) = self.links.get(&link).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(forward) = call.forward.take_if(|forward| forward.link == link) else {
            return;
        };
        self.helpers.record_ended(forward.helper);
        match ending {
            ForwardEnding::Answered => self.finish(id, CallAction::Deliver(id, link)),
            ForwardEnding::Declined => self.forward_declined(now, id, forward),
            ForwardEnding::Failed(error) => self.forward_failed(now, id, link, error),
        }
    }

    /// Asks the next helper; if there is none, goes on with worker selection.
    fn forward_declined(&mut self, now: Time, id: CallId, forward: Forward) {
        self.links.remove(&forward.link);
        self.helpers.record_refusal(now, forward.helper);
        self.record(now, id, Decision::Declined(forward.helper));
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.selection = match forward.selection {
            SelectionState::Hedge if call.attempts.is_empty() => SelectionState::Primary,
            selection => selection,
        };
        if !self.forward(now, id) {
            self.select_worker(now, id);
        }
    }

    /// Ends a request that a helper couldn't have served, unless an attempt of this daemon is still
    /// in flight.
    fn forward_failed(&mut self, now: Time, id: CallId, link: LinkId, error: CallError) {
        self.links.remove(&link);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let not_run = matches!(error, CallError::Barred(_) | CallError::NotRun(_));
        let error = if not_run && call.maybe_ran {
            CallError::Lost
        } else {
            error
        };
        call.maybe_ran |= !not_run;
        if !call.attempts.is_empty() {
            return;
        }
        match call.fallback {
            Some(link) => self.finish(id, CallAction::Deliver(id, link)),
            None => self.fail_call(now, id, error),
        }
    }

    /// Cancels what is in flight at a helper for a request that ends.
    pub(crate) fn cancel_forward(&mut self, call: &Call) {
        if let Some(forward) = call.forward {
            self.helpers.record_ended(forward.helper);
            self.close_link(forward.link);
        }
    }

    /// Handles the end of a trial.
    pub(crate) fn trial_ended(
        &mut self,
        now: Time,
        link: LinkId,
        trial: &Trial,
        health: Result<HealthReport, ProbeFailure>,
    ) {
        if let Ok(health) = health {
            self.release_link(link);
            self.note_trial(now, trial.service.clone());
            self.record_health(now, trial.worker, &health);
        }
    }

    /// When the next trial is due, or one that is in flight times out.
    pub(crate) fn next_trial(&self) -> Option<Time> {
        let deadlines = self.trials.values().map(|trial| trial.deadline);
        let due = self.reaches.values().filter_map(forward::Reach::next_trial);
        deadlines.chain(due).min()
    }

    /// Begins the trials that are due, and gives up those that have timed out.
    pub(crate) fn run_trials(&mut self, now: Time) {
        let late = |trial: &Trial| now >= trial.deadline;
        let late: Vec<LinkId> = self
            .trials
            .iter()
            .filter(|(_, trial)| late(trial))
            .map(|(link, _)| *link)
            .collect();
        for link in late {
            self.trials.remove(&link);
            self.actions.push(CallAction::Close(link));
        }
        let due = |at: Time| at <= now;
        let services: Vec<Name> = self
            .reaches
            .iter()
            .filter(|(_, reach)| reach.next_trial().is_some_and(due))
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.begin_trial(now, service);
        }
    }

    /// Sends a health probe to a random worker of a service, if this daemon's share of the probes
    /// allows that.
    fn begin_trial(&mut self, now: Time, service: Name) {
        if let Some(reach) = self.reaches.get_mut(&service) {
            reach.delay_trial(now, &mut self.rng);
        }
        let mut workers = self.table.sendable(&service, now);
        workers.retain(|worker| self.table.may_send(*worker, now));
        let Some(worker) = self.rng.choice(workers) else {
            return;
        };
        let limit = self.policy.bounds.probe_rate;
        if !self.table.take_probe_permit(worker, now, limit) {
            return;
        }
        let link = LinkId(self.next_link);
        self.next_link += 1;
        let trial = Trial {
            deadline: now + self.policy.probe_timeout,
            service,
            worker,
        };
        self.trials.insert(link, trial);
        self.actions.push(CallAction::Try { link, worker });
    }
}
