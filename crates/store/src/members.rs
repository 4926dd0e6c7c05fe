//! Registration of this daemon, and the list of all daemons' entries in the store.

use {
    crate::{
        StoreAction, StoreClient, StoreEvent, client::CALL_TIMEOUT, registration::RegistrationPhase,
    },
    platform::{MemberEntry, Object, StoreCall, StoreReply},
    site::Rev,
    unit::{Name, Span, Time},
};

/// The average pause between two reads of all daemons' entries.
const REFRESH_PAUSE: Span = Span::secs(600);

/// The time over which daemons spread the writing of their entries after the store came back from
/// an older copy.
const REGISTER_AGAIN_SPREAD: Span = Span::secs(3);
/// The average pause before an entry that was in an older copy is compared with the right one.
const COMPARE_PAUSE: Span = Span::secs(20);

impl StoreClient {
    /// Removes the entry of a daemon that is gone for good, provided that it still has the revision
    /// `rev`. If the call fails, the entry shows up again in the next list.
    pub fn remove_member(&mut self, name: Name, rev: Rev) -> Vec<StoreAction> {
        self.send_call(StoreCall::RemoveMember(name, rev), CALL_TIMEOUT);
        std::mem::take(&mut self.actions)
    }

    /// Looks for this daemon's entry in a list that may be stale. Such a list is cheap and enough
    /// to find the entry after a restart; a new daemon isn't in it.
    pub(crate) fn find_own_entry(&mut self) {
        self.list_members(None, Vec::new(), true);
    }

    /// Looks for this daemon's entry again, and writes it if it is gone, after the other daemons may
    /// have treated this one as gone. [`StoreEvent::Registered`] is reported once more.
    pub fn confirm_registration(&mut self, now: Time) -> Vec<StoreAction> {
        if let Some(call) = self.registration.pending_call() {
            self.actions.push(StoreAction::Cancel(call));
        }
        self.registration.registered = false;
        self.registration.maybe_new = true;
        self.registration.phase = RegistrationPhase::Due(now);
        std::mem::take(&mut self.actions)
    }

    /// Schedules the creation of this daemon's entry after the store came back from an older copy.
    pub(crate) fn register_again(&mut self, now: Time) {
        if let Some(call) = self.registration.pending_call() {
            self.actions.push(StoreAction::Cancel(call));
        }
        self.registration.lost = true;
        let delay = REGISTER_AGAIN_SPREAD.scale(self.rng.f64());
        self.registration.phase = RegistrationPhase::Due(now + delay);
    }

    /// Handles that the entry exists again after the store came back from an older copy. The other
    /// daemons know this one already. An entry that was in the copy may be an older one, so it is
    /// compared soon.
    fn registered_again(&mut self, now: Time, copied: bool) {
        self.registration.lost = false;
        let pause = if copied { COMPARE_PAUSE } else { REFRESH_PAUSE };
        let delay = pause.scale(0.5 + self.rng.f64());
        self.registration.phase = RegistrationPhase::Due(now + delay);
    }

    /// Creates this daemon's entry.
    pub(crate) fn create_member(&mut self) {
        let own_entry = self.registration.own_entry.clone();
        let call = self.send_call(StoreCall::CreateMember(own_entry), CALL_TIMEOUT);
        self.registration.phase = RegistrationPhase::Creating(call);
    }

    /// Requests the page that follows the name `after` in the list of all daemons' entries; without
    /// a name, the first page. `entries` are those on earlier pages.
    fn list_members(
        &mut self,
        after: Option<Name>,
        entries: Vec<(Rev, MemberEntry)>,
        stale_ok: bool,
    ) {
        let call = self.send_call(StoreCall::ListMembers { after, stale_ok }, CALL_TIMEOUT);
        self.registration.phase = RegistrationPhase::Listing {
            call,
            entries,
            stale_ok,
        };
    }

    /// Schedules the registration's next call after a failed one.
    pub(crate) fn retry_registration(&mut self, now: Time) {
        self.registration.maybe_new |=
            matches!(self.registration.phase, RegistrationPhase::Creating(_));
        let delay = self.registration.backoff.next(&mut self.rng);
        self.registration.phase = RegistrationPhase::Due(now + delay);
    }

    /// Handles the store's response to the registration's pending call.
    pub(crate) fn handle_member_reply(&mut self, now: Time, reply: StoreReply) {
        self.registration.backoff.reset();
        match reply {
            StoreReply::Conflict | StoreReply::Done
                if self.registration.lost && self.registration.registered =>
            {
                self.registered_again(now, reply == StoreReply::Conflict);
            }
            // A conflict means that the entry exists, which also settles an earlier call to create
            // it whose result was lost. The daemon is registered once it knows the others too.
            StoreReply::Conflict | StoreReply::Done => {
                if reply == StoreReply::Done {
                    self.registration.maybe_new = true;
                    self.registration.registered = false;
                }
                self.registration.lost = false;
                self.list_members(None, Vec::new(), false);
            }
            StoreReply::Page { next, objects, .. } => self.handle_member_page(now, next, objects),
            StoreReply::Compacted
            | StoreReply::Events(..)
            | StoreReply::NotFound
            | StoreReply::Refused(_) => {
                self.retry_registration(now);
            }
        }
    }

    /// Collects the entries on a page. Requests the next page, or decides after the last one
    /// whether this daemon's entry has to be written.
    fn handle_member_page(&mut self, now: Time, next: Option<Name>, objects: Vec<Object>) {
        let RegistrationPhase::Listing {
            entries, stale_ok, ..
        } = &mut self.registration.phase
        else {
            return;
        };
        let (mut entries, stale_ok) = (std::mem::take(entries), *stale_ok);
        for object in objects {
            match object {
                Object::Member(rev, entry) => entries.push((rev, entry)),
                Object::Unreadable { name, reason, .. } => self
                    .actions
                    .push(StoreAction::Notify(StoreEvent::Unreadable(name, reason))),
                Object::Topic(_) => {}
            }
        }
        if next.is_some() {
            self.list_members(next, entries, stale_ok);
            return;
        }
        let own_entry = self.registration.own_entry.clone();
        let stored = entries
            .iter()
            .find(|(_, entry)| entry.name == own_entry.name);
        match stored {
            Some((rev, entry)) if *entry != own_entry => {
                let call = self.send_call(StoreCall::ReplaceMember(own_entry, *rev), CALL_TIMEOUT);
                self.registration.phase = RegistrationPhase::Replacing(call);
            }
            // The entries are listed again after this daemon's entry is written, so that of two new
            // daemons at least one sees the other.
            None if stale_ok => {
                self.create_member();
                return;
            }
            _ => {
                if !self.registration.registered {
                    let new = self.registration.maybe_new;
                    self.registration.registered = true;
                    self.actions
                        .push(StoreAction::Notify(StoreEvent::Registered(new)));
                }
                // The entries are listed again from time to time, so that those of daemons that are
                // gone get removed.
                self.registration.phase =
                    RegistrationPhase::Due(now + REFRESH_PAUSE.scale(0.5 + self.rng.f64()));
            }
        }
        self.actions
            .push(StoreAction::Notify(StoreEvent::Members(entries)));
    }
}
