//! Drives a store client on a simulated clock, with call results given by the test.

use {
    platform::{MemberEntry, Object, StoreCall, StoreReply},
    site::{Era, ObjectState, Rev, Revs, Topic, Versioned},
    store::{Role, StoreAction, StoreCallError, StoreCallId, StoreClient, StoreEvent},
    unit::{Span, Time},
};

/// A daemon's entry with the address 10.0.0.`last_octet`.
pub(crate) fn entry(name: &str, last_octet: u8) -> MemberEntry {
    MemberEntry {
        centre: "a".into(),
        ip: [10, 0, 0, last_octet].into(),
        name: name.into(),
        operator_port: None,
        peer_port: 7_720,
    }
}

/// A client under test and its surroundings.
pub(crate) struct Harness {
    /// The pending calls, oldest first.
    pub(crate) calls: Vec<(StoreCallId, StoreCall)>,
    pub(crate) client: StoreClient,
    /// The events reported so far, oldest first.
    pub(crate) events: Vec<StoreEvent>,
    pub(crate) now: Time,
    /// The timeouts of all calls so far.
    timeouts: Vec<(StoreCallId, Span)>,
    /// The revision up to which the daemon knows each topic.
    pub(crate) revs: Revs,
}

impl Harness {
    pub(crate) fn new() -> Self {
        let now = Time::at(Span::secs(100));
        Self {
            calls: Vec::new(),
            client: StoreClient::new(entry("front-a-1", 1), now, fastrand::Rng::with_seed(1)),
            events: Vec::new(),
            now,
            timeouts: Vec::new(),
            revs: Revs::default(),
        }
    }

    /// A registered follower.
    pub(crate) fn registered() -> Self {
        let mut harness = Self::new();
        harness.advance(Span::ZERO);
        harness.complete(is_stale_list, Ok(page(Vec::new(), 1)));
        harness.complete(is_create, Ok(StoreReply::Done));
        let own = Object::Member(at_rev(2), entry("front-a-1", 1));
        harness.complete(is_member_list, Ok(page(vec![own], 2)));
        harness.events.clear();
        harness
    }

    /// A registered watcher that watches all topics from revision 5, which the store has confirmed.
    pub(crate) fn watching() -> Self {
        let mut harness = Self::registered();
        for topic in Topic::ALL {
            harness.revs.raise(topic, at_rev(5));
        }
        harness.set_role(Role::Watcher);
        harness.advance(Span::ZERO);
        harness.complete(is_probe, Ok(no_change()));
        assert_eq!(harness.calls.len(), 3);
        assert!(harness.client.watching());
        harness
    }

    pub(crate) fn set_role(&mut self, role: Role) {
        let actions = self.client.set_role(role, self.now);
        self.apply(actions);
    }

    /// Lets a span pass, then runs a tick.
    pub(crate) fn advance(&mut self, span: Span) {
        self.now = self.now + span;
        let actions = self.client.tick(self.now, &self.revs);
        self.apply(actions);
    }

    /// Completes the oldest pending call that matches.
    pub(crate) fn complete(
        &mut self,
        matching: impl Fn(&StoreCall) -> bool,
        result: Result<StoreReply, StoreCallError>,
    ) {
        let index = self.calls.iter().position(|(_, call)| matching(call));
        let (id, _) = self
            .calls
            .remove(index.expect("a matching call is pending"));
        let actions = self.client.complete_call(self.now, id, result);
        self.apply(actions);
    }

    pub(crate) fn apply(&mut self, actions: Vec<StoreAction>) {
        for action in actions {
            match action {
                StoreAction::Call(id, call, timeout) => {
                    self.calls.push((id, call));
                    self.timeouts.push((id, timeout));
                }
                StoreAction::Cancel(id) => self.calls.retain(|(other, _)| *other != id),
                StoreAction::Notify(event) => self.events.push(event),
            }
        }
    }

    /// The timeout of the oldest pending call that matches.
    pub(crate) fn timeout(&self, matching: impl Fn(&StoreCall) -> bool) -> Span {
        let call = self.calls.iter().find(|(_, call)| matching(call));
        let (id, _) = call.expect("a matching call is pending");
        let timeout = self.timeouts.iter().find(|(other, _)| other == id);
        timeout.expect("every call has a timeout").1
    }

    /// Whether a matching call is pending.
    pub(crate) fn is_pending(&self, matching: impl Fn(&StoreCall) -> bool) -> bool {
        self.calls.iter().any(|(_, call)| matching(call))
    }
}

/// A revision of the store's first era.
pub(crate) fn at_rev(number: u64) -> Rev {
    Rev::new(Era::default(), number)
}

/// The only page of a list.
pub(crate) fn page(objects: Vec<Object>, rev: u64) -> StoreReply {
    StoreReply::Page {
        next: None,
        objects,
        rev: at_rev(rev),
    }
}

pub(crate) fn is_check(wanted: Topic) -> impl Fn(&StoreCall) -> bool {
    move |call| matches!(call, StoreCall::Check { topic, .. } if *topic == wanted)
}

/// The response to a probe that finds no change.
pub(crate) fn no_change() -> StoreReply {
    StoreReply::Events(Vec::new(), at_rev(5))
}

pub(crate) fn is_member_list(call: &StoreCall) -> bool {
    matches!(call, StoreCall::ListMembers { .. })
}

pub(crate) fn is_stale_list(call: &StoreCall) -> bool {
    matches!(call, StoreCall::ListMembers { stale_ok: true, .. })
}

pub(crate) fn is_probe(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Check { .. } | StoreCall::Probe)
}

pub(crate) fn is_create(call: &StoreCall) -> bool {
    matches!(call, StoreCall::CreateMember(_))
}

pub(crate) fn is_list(wanted: Topic) -> impl Fn(&StoreCall) -> bool {
    move |call| matches!(call, StoreCall::List { topic, .. } if *topic == wanted)
}

pub(crate) fn is_watch(wanted: Topic) -> impl Fn(&StoreCall) -> bool {
    move |call| matches!(call, StoreCall::Watch { topic, .. } if *topic == wanted)
}

/// The evacuation of data centre `a`.
pub(crate) fn evacuated(rev: u64) -> Object {
    Object::Topic(Versioned {
        rev: at_rev(rev),
        value: ObjectState::Evacuated("a".into()),
    })
}
