//! Whether a request in progress would still be admitted for its client account. The configuration
//! may have changed while it waited.

use {
    crate::{
        CallError, CallId,
        call::{Call, SelectionState},
        dispatcher::Dispatcher,
    },
    site::Route,
    std::sync::Arc,
    unit::{Name, Span, Time},
};

/// The delay after which a caller may retry a request whose key belongs to another account now: by
/// then it is admitted for that one.
const RETRY_AFTER_REASSIGNED: Span = Span::millis(50);

impl Dispatcher {
    /// Whether a request in progress may be sent: it is not barred, and its key is in force.
    pub(crate) fn may_run(&self, now: Time, id: CallId) -> bool {
        let call = self.calls.get(&id);
        self.barred(now, id).is_none() && call.is_none_or(|call| self.key_error(call).is_none())
    }

    /// Ends worker selection for a request that may not be sent any more, since it is barred or its
    /// key is not in force. An attempt in flight goes on.
    pub(crate) fn stop_selection(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let hedge = call.selection == SelectionState::Hedge;
        call.selection = SelectionState::Idle;
        if let Some(candidate) = call.candidate.take() {
            self.discard_candidate(&candidate);
        }
        if !hedge {
            self.give_up(now, id);
        }
    }

    /// Why a request may not be sent to a worker any more; `None` if it may. Its key must be in
    /// force and belong to the account that it was admitted for.
    pub(crate) fn key_error(&self, call: &Call) -> Option<CallError> {
        if !self.accounts.is_enabled() && call.account.is_none() {
            return None;
        }
        let public = self.is_public(&call.route);
        match self.accounts.authenticate(&call.credential, public) {
            Err(_) => Some(CallError::Unauthorized),
            Ok(account) => {
                let now: Option<&Name> = account.map(|account| &account.name);
                let admitted = call.account.as_ref().map(|account| &account.name);
                (now != admitted).then_some(CallError::NotRun(RETRY_AFTER_REASSIGNED))
            }
        }
    }

    /// Whether a route's requests need no key by the configuration in force; a route that it no
    /// longer has counts as it was.
    fn is_public(&self, route: &Arc<Route>) -> bool {
        let public = self.public_routes.get(&route.name);
        public.copied().unwrap_or(route.public)
    }
}
