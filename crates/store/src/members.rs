//! The daemons' entries in the store.

use {
    crate::{StoreAction, StoreClient, StoreEvent, client::CALL_TIME, registration::Stage},
    platform::{Call, MemberEntry, Object, Reply},
    site::Rev,
    unit::{Name, Span, Time},
};

/// How often a daemon reads the entries of all, on average.
const REFRESH: Span = Span::secs(600);

impl StoreClient {
    /// Takes away the entry of a daemon that is gone for good. Where that fails, the entry is found
    /// again with the next list.
    pub fn remove_member(&mut self, name: Name, rev: Rev) -> Vec<StoreAction> {
        self.call(Call::RemoveMember(name, rev), CALL_TIME);
        std::mem::take(&mut self.actions)
    }

    /// Looks for the own entry. A list that may be old is enough to find it after a restart, and cheap;
    /// a daemon that is new finds none there.
    pub(crate) fn register(&mut self) {
        self.list_members(None, Vec::new(), true);
    }

    fn create_member(&mut self) {
        let own = self.registration.own.clone();
        let call = self.call(Call::CreateMember(own), CALL_TIME);
        self.registration.stage = Stage::Creating(call);
    }

    fn list_members(&mut self, after: Option<Name>, found: Vec<(Rev, MemberEntry)>, old: bool) {
        let call = self.call(Call::ListMembers { after, old }, CALL_TIME);
        self.registration.stage = Stage::Listing { call, found, old };
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
                self.actions
                    .push(StoreAction::Notify(StoreEvent::Registered(new)));
                self.list_members(None, Vec::new(), false);
            }
            Reply::Page { next, objects, .. } => self.member_page(now, next, objects),
            Reply::Compacted | Reply::Events(..) | Reply::NotFound | Reply::Refused(_) => {
                self.member_failed(now);
            }
        }
    }

    fn member_page(&mut self, now: Time, next: Option<Name>, objects: Vec<Object>) {
        let Stage::Listing { found, old, .. } = &mut self.registration.stage else {
            return;
        };
        let (mut found, old) = (std::mem::take(found), *old);
        for object in objects {
            match object {
                Object::Member(rev, entry) => found.push((rev, entry)),
                Object::Unreadable { name, reason, .. } => self
                    .actions
                    .push(StoreAction::Notify(StoreEvent::Unreadable(name, reason))),
                Object::Topic(_) => {}
            }
        }
        if next.is_some() {
            self.list_members(next, found, old);
            return;
        }
        let own = self.registration.own.clone();
        let same = found.iter().find(|(_, entry)| entry.name == own.name);
        match same {
            Some((rev, entry)) if *entry != own => {
                let call = self.call(Call::ReplaceMember(own, *rev), CALL_TIME);
                self.registration.stage = Stage::Replacing(call);
            }
            // Who else is there is read again after the own entry is written, so that of two daemons
            // that are new at least one sees the other.
            None if old => {
                self.create_member();
                return;
            }
            _ => {
                if !self.registration.entered {
                    let new = self.registration.lost;
                    self.registration.entered = true;
                    self.actions
                        .push(StoreAction::Notify(StoreEvent::Registered(new)));
                }
                // The list is read again now and then, so that entries of daemons that are gone end.
                self.registration.stage = Stage::Pause(now + REFRESH.scale(0.5 + self.rng.f64()));
            }
        }
        self.actions
            .push(StoreAction::Notify(StoreEvent::Members(found)));
    }
}
