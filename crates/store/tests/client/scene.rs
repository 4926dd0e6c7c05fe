//! A client of the store whose calls tests answer as they like.

use {
    platform::{Call, MemberEntry, Object, Reply},
    site::{Edition, Item, Rev, Revs, Topic},
    store::{CallError, CallId, Role, StoreAction, StoreClient, StoreEvent},
    unit::{Span, Time},
};

pub(crate) fn entry(name: &str, last: u8) -> MemberEntry {
    MemberEntry {
        centre: "a".into(),
        ip: [10, 0, 0, last].into(),
        name: name.into(),
        operators: None,
        port: 7_720,
    }
}

/// A client, the moment, and the calls that wait for an answer.
pub(crate) struct Scene {
    pub(crate) calls: Vec<(CallId, Call)>,
    pub(crate) client: StoreClient,
    pub(crate) news: Vec<StoreEvent>,
    pub(crate) now: Time,
    pub(crate) revs: Revs,
}

impl Scene {
    pub(crate) fn new() -> Self {
        let now = Time::at(Span::secs(100));
        Self {
            calls: Vec::new(),
            client: StoreClient::new(entry("front-a-1", 1), now, fastrand::Rng::with_seed(1)),
            news: Vec::new(),
            now,
            revs: Revs::default(),
        }
    }

    /// A client that is registered and watches nothing.
    pub(crate) fn registered() -> Self {
        let mut scene = Self::new();
        scene.pass(Span::ZERO);
        scene.answer(is_old_list, Ok(page(Vec::new(), 1)));
        scene.answer(is_create, Ok(Reply::Done));
        let own = Object::Member(Rev(2), entry("front-a-1", 1));
        scene.answer(is_member_list, Ok(page(vec![own], 2)));
        scene.news.clear();
        scene
    }

    /// A client that watches all topics from revision 5.
    pub(crate) fn watching() -> Self {
        let mut scene = Self::registered();
        for topic in Topic::ALL {
            scene.revs.raise(topic, Rev(5));
        }
        scene.turn(Role::Watcher);
        scene.pass(Span::ZERO);
        assert_eq!(scene.calls.len(), 3);
        scene
    }

    pub(crate) fn turn(&mut self, role: Role) {
        let actions = self.client.set_role(role, self.now);
        self.take(actions);
    }

    pub(crate) fn pass(&mut self, span: Span) {
        self.now = self.now + span;
        let actions = self.client.tick(self.now, &self.revs);
        self.take(actions);
    }

    pub(crate) fn answer(
        &mut self,
        which: impl Fn(&Call) -> bool,
        answer: Result<Reply, CallError>,
    ) {
        let at = self.calls.iter().position(|(_, call)| which(call));
        let (id, _) = self.calls.remove(at.expect("the call is under way"));
        let actions = self.client.complete_call(self.now, id, answer);
        self.take(actions);
    }

    pub(crate) fn take(&mut self, actions: Vec<StoreAction>) {
        for action in actions {
            match action {
                StoreAction::Call(id, call, _) => self.calls.push((id, call)),
                StoreAction::Cancel(id) => self.calls.retain(|(other, _)| *other != id),
                StoreAction::Notify(news) => self.news.push(news),
            }
        }
    }

    pub(crate) fn has(&self, which: impl Fn(&Call) -> bool) -> bool {
        self.calls.iter().any(|(_, call)| which(call))
    }
}

pub(crate) fn page(objects: Vec<Object>, rev: u64) -> Reply {
    Reply::Page {
        next: None,
        objects,
        rev: Rev(rev),
    }
}

pub(crate) fn is_member_list(call: &Call) -> bool {
    matches!(call, Call::ListMembers { .. })
}

pub(crate) fn is_old_list(call: &Call) -> bool {
    matches!(call, Call::ListMembers { old: true, .. })
}

pub(crate) fn is_create(call: &Call) -> bool {
    matches!(call, Call::CreateMember(_))
}

pub(crate) fn is_list(wanted: Topic) -> impl Fn(&Call) -> bool {
    move |call| matches!(call, Call::List { topic, .. } if *topic == wanted)
}

pub(crate) fn is_watch(wanted: Topic) -> impl Fn(&Call) -> bool {
    move |call| matches!(call, Call::Watch { topic, .. } if *topic == wanted)
}

pub(crate) fn evacuated(rev: u64) -> Object {
    Object::Topic(Edition {
        rev: Rev(rev),
        value: Item::Evacuated("a".into()),
    })
}
