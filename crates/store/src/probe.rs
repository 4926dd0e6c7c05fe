//! Probes of the store, and the watches whose fate they tell.

use {
    crate::{
        RenewalReason, StoreAction, StoreCallId, StoreClient, StoreEvent,
        topic_sync::{SyncPhase, TopicSync},
    },
    platform::{StoreCall, StoreReply},
    site::{Rev, Revs},
    unit::{Span, Time},
};

/// The pause between the result of a probe of the store and the next probe.
const PROBE_PAUSE: Span = Span::millis(700);
/// How long the response to a probe may take.
const PROBE_TIMEOUT: Span = Span::millis(600);

/// The probe that checks whether the store responds. A watcher needs it because a pending watch
/// shows neither that the store received it nor that the store still responds to this daemon. A
/// probe goes out with each watch, and periodically; while the store is failing, probes alone do.
/// Each probe asks for the changes of one topic, in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// The next probe is due at this time.
    Due(Time),
    /// A probe is pending, which checks the topic with this index.
    Sent(StoreCallId, usize),
}

impl StoreClient {
    /// Sends a probe that asks for the changes of the topic whose turn it is, if anything is known of it
    /// in the store's present era.
    pub(crate) fn send_probe(&mut self, revs: &Revs) {
        let index = self.probe_turn;
        self.probe_turn = (index + 1) % self.topics.len();
        let sync = &self.topics[index];
        let (from, topic) = (revs.of(sync.topic).max(sync.watched_rev), sync.topic);
        let call = if from == Rev::default() || Some(from.era) < self.era {
            StoreCall::Probe
        } else {
            StoreCall::Check { from, topic }
        };
        self.probe = Probe::Sent(self.send_call(call, PROBE_TIMEOUT), index);
    }

    /// Handles the result of a probe of the topic at `index`, `None` if it failed. A response shows
    /// that the store received all watches sent before the probe. If it brings a change that the
    /// topic's watch hasn't delivered, the response to that watch may be lost.
    pub(crate) fn handle_probe_reply(
        &mut self,
        now: Time,
        probe: StoreCallId,
        index: usize,
        reply: Option<StoreReply>,
    ) {
        let Some(reply) = reply else {
            self.probe = Probe::Due(now + PROBE_PAUSE);
            self.renew_watches(now, RenewalReason::Unanswered);
            return;
        };
        for sync in &mut self.topics {
            sync.confirm_watch(probe);
        }
        let changed = matches!(&reply, StoreReply::Events(objects, _) if !objects.is_empty());
        if changed {
            self.renew_watch(now, index, probe);
        }
        let pause = if self.has_unconfirmed_watch() {
            Span::ZERO
        } else {
            PROBE_PAUSE
        };
        self.probe = Probe::Due(now + pause);
    }

    /// Whether a pending watch was sent after the last probe that the store answered.
    pub(crate) fn has_unconfirmed_watch(&self) -> bool {
        let unconfirmed = |sync: &TopicSync| {
            matches!(
                sync.phase,
                SyncPhase::Watching {
                    confirmed: false,
                    ..
                }
            )
        };
        self.topics.iter().any(unconfirmed)
    }

    /// Sends a topic's watch again, to return at once, if it was pending when the probe was sent.
    fn renew_watch(&mut self, now: Time, index: usize, probe: StoreCallId) {
        let sync = &mut self.topics[index];
        if let SyncPhase::Watching { call, .. } = sync.phase
            && call < probe
        {
            self.actions.push(StoreAction::Cancel(call));
            sync.renew(now);
            self.notify_renewed(1, RenewalReason::Outdated);
        }
    }

    /// Cancels all pending watches, which may never complete. They are sent again once the store
    /// responds.
    pub(crate) fn renew_watches(&mut self, now: Time, reason: RenewalReason) {
        let mut count = 0;
        for sync in &mut self.topics {
            if let SyncPhase::Watching { call, .. } = sync.phase {
                self.actions.push(StoreAction::Cancel(call));
                sync.current = false;
                sync.phase = SyncPhase::Due(now);
                count += 1;
            }
        }
        self.notify_renewed(count, reason);
    }

    fn notify_renewed(&mut self, watches: usize, reason: RenewalReason) {
        if watches > 0 {
            let event = StoreEvent::WatchesRenewed(watches, reason);
            self.actions.push(StoreAction::Notify(event));
        }
    }
}
