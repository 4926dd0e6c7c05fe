//! Reading and watching the topics.

use {
    crate::{
        StoreAction, StoreClient, StoreEvent,
        client::CALL_TIME,
        topic::{Phase, readable},
    },
    platform::{Call, Object, Reply},
    site::{Change, Edition, Item, Rev, Revs, Topic},
    unit::{Name, Span, Time},
};

/// How long the store waits for a change before it answers a watch without one.
const WATCH_WAIT: Span = Span::secs(6);
/// How much longer than its wait a watch may take.
const WATCH_SLACK: Span = Span::millis(1_500);
/// The pause between the answer to a watch and the next, so that changes that come together are
/// told together.
const GATHER: Span = Span::millis(300);

impl StoreClient {
    /// Reads a topic of which nothing is known, and watches any other.
    pub(crate) fn start(&mut self, at: usize, revs: &Revs) {
        let topic = self.follows[at].topic;
        let known = revs.of(topic);
        if known == Rev::default() {
            self.list(at);
            return;
        }
        let from = known.max(self.follows[at].seen);
        let watch = Call::Watch {
            from,
            topic,
            wait: WATCH_WAIT,
        };
        let call = self.call(watch, WATCH_WAIT + WATCH_SLACK);
        self.follows[at].phase = Phase::Watching(call);
    }

    pub(crate) fn topic_failed(&mut self, now: Time, at: usize) {
        let pause = self.follows[at].backoff.next(&mut self.rng);
        self.follows[at].current = false;
        self.follows[at].phase = Phase::Pause(now + pause);
    }

    pub(crate) fn topic_reply(&mut self, now: Time, at: usize, reply: Reply) {
        self.follows[at].backoff.reset();
        self.follows[at].outrun = None;
        let topic = self.follows[at].topic;
        match reply {
            Reply::Page { next, objects, rev } => self.page(now, at, next, objects, rev),
            Reply::Events(objects, rev) => {
                let items = self.items(topic, objects, now);
                if let Some(newest) = items.iter().map(|item| item.rev).max() {
                    self.change(topic, false, items, newest, now);
                }
                self.follows[at].seen = self.follows[at].seen.max(rev);
                self.follows[at].current = true;
                self.follows[at].phase = Phase::Pause(now + GATHER);
            }
            Reply::Compacted => self.list(at),
            Reply::Conflict | Reply::Done | Reply::NotFound | Reply::Refused(_) => {
                self.topic_failed(now, at);
            }
        }
    }

    /// Reads a topic in full.
    pub(crate) fn list(&mut self, at: usize) {
        let topic = self.follows[at].topic;
        let call = self.call(Call::List { after: None, topic }, CALL_TIME);
        self.follows[at].phase = Phase::Listing {
            call,
            items: Vec::new(),
            rev: None,
        };
    }

    pub(crate) fn page(
        &mut self,
        now: Time,
        at: usize,
        next: Option<Name>,
        objects: Vec<Object>,
        page_rev: Rev,
    ) {
        let topic = self.follows[at].topic;
        let page = self.items(topic, objects, now);
        let Phase::Listing { items, rev, .. } = &mut self.follows[at].phase else {
            return;
        };
        items.extend(page);
        let rev = *rev.get_or_insert(page_rev);
        let items = std::mem::take(items);
        if next.is_none() {
            self.change(topic, true, items, rev, now);
            self.follows[at].current = true;
            self.follows[at].phase = Phase::Pause(now);
            return;
        }
        let call = self.call(Call::List { after: next, topic }, CALL_TIME);
        self.follows[at].phase = Phase::Listing {
            call,
            items,
            rev: Some(rev),
        };
    }

    pub(crate) fn items(
        &mut self,
        topic: Topic,
        objects: Vec<Object>,
        now: Time,
    ) -> Vec<Edition<Item>> {
        let departure = self.departure(now);
        let actions = &mut self.actions;
        let mut gone = Vec::new();
        let mut items = readable(objects, |object| {
            if let Object::Unreadable { name, reason, rev } = object {
                if topic == Topic::Workers && !name.is_empty() {
                    let value = Item::WorkerGone(name.clone(), departure);
                    gone.push(Edition { rev, value });
                }
                actions.push(StoreAction::Notify(StoreEvent::Unreadable(name, reason)));
            }
        });
        items.extend(gone);
        items
    }

    pub(crate) fn change(
        &mut self,
        topic: Topic,
        full: bool,
        items: Vec<Edition<Item>>,
        rev: Rev,
        now: Time,
    ) {
        let change = Change {
            absent: self.departure(now),
            full,
            items,
            rev,
            topic,
        };
        self.actions
            .push(StoreAction::Notify(StoreEvent::Change(change)));
    }
}
