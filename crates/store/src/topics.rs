//! Lists and watches the topics.

use {
    crate::{
        StoreAction, StoreClient, StoreEvent,
        client::CALL_TIMEOUT,
        probe::Probe,
        topic_sync::{SyncPhase, topic_items},
    },
    platform::{Object, StoreCall, StoreReply},
    site::{Change, ObjectState, Rev, Revs, Topic, Versioned},
    unit::{Name, Span, Time},
};

/// How long the store waits for a change before it responds to a watch without one. A connection may
/// go silent for good while others work, which only a missing response shows. Users count a daemon as
/// in touch again 3 s after that, and from then on changes have to take effect within 2 s of their
/// acknowledgement; [`WATCH_SLACK`] and the spreading to other daemons count, too.
const WATCH_WAIT: Span = Span::secs(3);
/// How much longer than [`WATCH_WAIT`] a watch may take before it times out. Longer than a probe may,
/// so that a store that fails altogether is found out before.
const WATCH_SLACK: Span = Span::secs(1);
/// The pause between the response to a watch and the next watch, so that changes made shortly after
/// one another arrive in one response.
const WATCH_PAUSE: Span = Span::millis(300);
/// The same for a watcher that mostly hears of changes from others. A watch begins after the changes
/// that are known by then, so that most need no response of the store.
const RELAXED_WATCH_PAUSE: Span = Span::millis(900);

impl StoreClient {
    /// Lists a topic that this daemon knows nothing of, or nothing in the store's present era, and
    /// watches any other.
    pub(crate) fn sync_topic(&mut self, index: usize, revs: &Revs) {
        let topic = self.topics[index].topic;
        let known_rev = revs.of(topic);
        let from = known_rev.max(self.topics[index].watched_rev);
        if known_rev == Rev::default() || Some(from.era) < self.era {
            self.list_topic(index);
            return;
        }
        let wait = if std::mem::take(&mut self.topics[index].immediate) {
            Span::ZERO
        } else {
            WATCH_WAIT
        };
        let watch = StoreCall::Watch { from, topic, wait };
        let call = self.send_call(watch, WATCH_WAIT + WATCH_SLACK);
        self.topics[index].phase = SyncPhase::Watching {
            call,
            behind_since: None,
            confirmed: false,
        };
    }

    fn watch_pause(&self) -> Span {
        if self.relaxed {
            RELAXED_WATCH_PAUSE
        } else {
            WATCH_PAUSE
        }
    }

    /// Schedules a topic's next call after a failed one. A probe comes before it.
    pub(crate) fn retry_topic(&mut self, now: Time, index: usize) {
        let due = now + self.topics[index].backoff.next(&mut self.rng);
        self.topics[index].current = false;
        self.topics[index].phase = SyncPhase::Due(due);
        if let Probe::Due(probe_due) = &mut self.probe {
            *probe_due = due.min(*probe_due);
        }
    }

    /// Handles the store's response to a topic's pending call.
    pub(crate) fn handle_topic_reply(&mut self, now: Time, index: usize, reply: StoreReply) {
        self.topics[index].backoff.reset();
        let topic = self.topics[index].topic;
        match reply {
            StoreReply::Page { next, objects, rev } => {
                self.handle_page(now, index, next, objects, rev)
            }
            StoreReply::Events(objects, rev) => {
                let items = self.reply_items(topic, objects, now);
                if let Some(newest_rev) = items.iter().map(|item| item.rev).max() {
                    self.notify_change(topic, false, items, newest_rev, now);
                }
                self.topics[index].watched_rev = self.topics[index].watched_rev.max(rev);
                self.topics[index].current = true;
                self.topics[index].phase = SyncPhase::Due(now + self.watch_pause());
            }
            StoreReply::Compacted => self.list_topic(index),
            StoreReply::Conflict
            | StoreReply::Done
            | StoreReply::NotFound
            | StoreReply::Refused(_) => {
                self.retry_topic(now, index);
            }
        }
    }

    /// Starts to read a topic in full.
    pub(crate) fn list_topic(&mut self, index: usize) {
        let topic = self.topics[index].topic;
        let call = self.send_call(StoreCall::List { after: None, topic }, CALL_TIMEOUT);
        self.topics[index].phase = SyncPhase::Listing {
            call,
            items: Vec::new(),
            rev: None,
        };
    }

    /// Collects the items on a page. Requests the next page, or reports the topic after the last
    /// one.
    pub(crate) fn handle_page(
        &mut self,
        now: Time,
        index: usize,
        next: Option<Name>,
        objects: Vec<Object>,
        page_rev: Rev,
    ) {
        let topic = self.topics[index].topic;
        let page = self.reply_items(topic, objects, now);
        let SyncPhase::Listing { items, rev, .. } = &mut self.topics[index].phase else {
            return;
        };
        items.extend(page);
        let rev = *rev.get_or_insert(page_rev);
        let items = std::mem::take(items);
        if next.is_none() {
            self.notify_change(topic, true, items, rev, now);
            self.topics[index].current = true;
            self.topics[index].phase = SyncPhase::Due(now);
            return;
        }
        let call = self.send_call(StoreCall::List { after: next, topic }, CALL_TIMEOUT);
        self.topics[index].phase = SyncPhase::Listing {
            call,
            items,
            rev: Some(rev),
        };
    }

    /// The items among the objects of a response. Reports each unreadable object; if it is a
    /// worker's entry, the worker counts as removed, and if it is a rollout's, what was known of
    /// that holds.
    pub(crate) fn reply_items(
        &mut self,
        topic: Topic,
        objects: Vec<Object>,
        now: Time,
    ) -> Vec<Versioned<ObjectState>> {
        let departure = self.departure(now);
        let actions = &mut self.actions;
        let mut unreadable = Vec::new();
        let mut items = topic_items(objects, |object| {
            if let Object::Unreadable { name, reason, rev } = object {
                if topic == Topic::Workers && !name.is_empty() {
                    let value = ObjectState::WorkerRemoved(name.clone(), departure);
                    unreadable.push(Versioned { rev, value });
                }
                if topic == Topic::Rollouts && !name.is_empty() {
                    let value = ObjectState::RolloutUnreadable(name.clone());
                    unreadable.push(Versioned { rev, value });
                }
                actions.push(StoreAction::Notify(StoreEvent::Unreadable(name, reason)));
            }
        });
        items.extend(unreadable);
        items
    }

    /// Reports a change of a topic to the owner.
    pub(crate) fn notify_change(
        &mut self,
        topic: Topic,
        full: bool,
        items: Vec<Versioned<ObjectState>>,
        rev: Rev,
        now: Time,
    ) {
        let change = Change {
            absent_departure: self.departure(now),
            full,
            items,
            rev,
            topic,
        };
        self.actions
            .push(StoreAction::Notify(StoreEvent::Change(change)));
    }
}
