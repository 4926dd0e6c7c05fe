//! The daemons' entries in the store.

use {
    crate::{Action, Client, News, client::CALL_TIME, registration::Stage},
    platform::{Call, MemberEntry, Object, Reply},
    site::Rev,
    unit::{Name, Span, Time},
};

/// How often a daemon reads the entries of all, on average.
const REFRESH: Span = Span::secs(600);

impl Client {
    /// Takes away the entry of a daemon that is gone for good. Where that fails, the entry is found
    /// again with the next list.
    pub fn remove_member(&mut self, name: Name, rev: Rev) -> Vec<Action> {
        self.call(Call::RemoveMember(name, rev), CALL_TIME);
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn register(&mut self) {
        if self.registration.entered {
            self.list_members(None, Vec::new());
            return;
        }
        let own = self.registration.own.clone();
        let call = self.call(Call::CreateMember(own), CALL_TIME);
        self.registration.stage = Stage::Creating(call);
    }

    pub(crate) fn list_members(&mut self, after: Option<Name>, found: Vec<(Rev, MemberEntry)>) {
        let call = self.call(Call::ListMembers { after }, CALL_TIME);
        self.registration.stage = Stage::Listing { call, found };
    }

    pub(crate) fn member_failed(&mut self, now: Time) {
        self.registration.lost |= matches!(self.registration.stage, Stage::Creating(_));
        let pause = self.registration.backoff.next(&mut self.rng);
        self.registration.stage = Stage::Pause(now + pause);
    }

    pub(crate) fn member_reply(&mut self, now: Time, reply: Reply) {
        self.registration.backoff.reset();
        match reply {
            // A conflict settles a lost answer, too: the entry exists.
            Reply::Conflict | Reply::Done => {
                let lost = self.registration.lost;
                let new = reply == Reply::Done || lost;
                self.registration.entered = true;
                self.actions.push(Action::News(News::Registered(new)));
                self.list_members(None, Vec::new());
            }
            Reply::Page { next, objects, .. } => self.member_page(now, next, objects),
            Reply::Compacted | Reply::Events(..) | Reply::NotFound | Reply::Refused(_) => {
                self.member_failed(now);
            }
        }
    }

    pub(crate) fn member_page(&mut self, now: Time, next: Option<Name>, objects: Vec<Object>) {
        let Stage::Listing { found, .. } = &mut self.registration.stage else {
            return;
        };
        let mut found = std::mem::take(found);
        for object in objects {
            match object {
                Object::Member(rev, entry) => found.push((rev, entry)),
                Object::Unreadable { name, reason, .. } => self
                    .actions
                    .push(Action::News(News::Unreadable(name, reason))),
                Object::Topic(_) => {}
            }
        }
        if next.is_some() {
            self.list_members(next, found);
            return;
        }
        let own = self.registration.own.clone();
        let other = found
            .iter()
            .find(|(_, entry)| entry.name == own.name && *entry != own)
            .map(|(rev, _)| *rev);
        self.registration.stage = match other {
            Some(rev) => Stage::Replacing(self.call(Call::ReplaceMember(own, rev), CALL_TIME)),
            // The list is read again now and then, so that entries of daemons that are gone end.
            None => Stage::Pause(now + REFRESH.scale(0.5 + self.rng.f64())),
        };
        self.actions.push(Action::News(News::Members(found)));
    }
}
