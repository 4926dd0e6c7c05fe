//! Connections to the platform's store.

use {
    crate::{conn::ConnKind, constants::STORE_IDLE_TIMEOUT, daemon::Daemon, log_event},
    platform::{MemberEntry, StoreCall, encode_call},
    serde_json::json,
    site::Rev,
    store::{RenewalReason, Role, StoreAction, StoreCallError, StoreCallId, StoreEvent},
    unit::{Map, Name, Set, Span, Time},
    wire::{ConnectionEnd, Limits, Response, ResponseReader},
};

/// The value of the log field `source` for changes that came from the store itself.
pub(crate) const STORE_SOURCE: &str = "store";
/// The maximum body size of a response of the store, in bytes: four times what it sends at the most.
const MAX_BODY_BYTES: usize = 4 << 20;
/// How long a newly registered daemon sends nothing to cold workers. Until the other daemons know
/// of it, they don't count it among those that share the limit of cold workers.
const JOIN_DELAY: Span = Span::secs(3);

/// Which connections to the store carry calls, and which are free.
#[derive(Debug, Default)]
pub(crate) struct StoreConns {
    /// The connection that each call in progress uses.
    calls: Map<StoreCallId, usize>,
    /// Idle connections.
    idle: Vec<usize>,
}

/// A connection to the store. It carries one call at a time.
#[derive(Debug)]
pub(crate) struct StoreConn {
    /// The call in flight; `None` while the connection is idle.
    call: Option<(StoreCallId, StoreCall)>,
    reader: ResponseReader,
}

impl Daemon {
    /// Runs what is due in the store client.
    pub(crate) fn store_tick(&mut self, now: Time) {
        let actions = self.store.tick(now, &self.view.revs());
        self.run_store_actions(now, actions);
    }

    /// Starts or stops watching the store for the other daemons, as the roster decides.
    pub(crate) fn update_store_role(&mut self, now: Time) {
        let lead = self.roster.is_lead_centre(now);
        self.store.set_relaxed(!lead);
        let must_watch = self.roster.must_watch(now, &self.own_state());
        let role = if must_watch {
            Role::Watcher
        } else {
            Role::Follower
        };
        if role == self.store.role() {
            return;
        }
        let event = match role {
            Role::Watcher => log_event::WATCH_BEGUN,
            Role::Follower => log_event::WATCH_ENDED,
        };
        let age = self.roster.staleness(now, &self.own_state());
        self.log_event(now, event, json!({"age_ms": age.as_millis()}));
        let actions = self.store.set_role(role, now);
        self.run_store_actions(now, actions);
    }

    /// Carries out the actions of the store client.
    pub(crate) fn run_store_actions(&mut self, now: Time, actions: Vec<StoreAction>) {
        for action in actions {
            match action {
                StoreAction::Call(id, call, timeout) => {
                    self.start_store_call(now, id, call, timeout)
                }
                StoreAction::Cancel(id) => {
                    if let Some(conn_key) = self.store_conns.calls.remove(&id) {
                        self.remove_store_conn(conn_key);
                    }
                }
                StoreAction::Notify(event) => self.handle_store_event(now, event),
            }
        }
    }

    /// Handles bytes that arrived on a connection to the store, and its end.
    pub(crate) fn store_read(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(conn) = self.store_conn(conn_key) else {
            return;
        };
        conn.reader.push(bytes);
        if conn.call.is_none() {
            // These bytes answer no call, or the store closed an idle connection.
            self.remove_store_conn(conn_key);
            return;
        }
        match conn.reader.next_response(false) {
            Ok(Some(response)) => {
                self.handle_store_response(now, conn_key, &response, ending.is_some())
            }
            Ok(None) if ending.is_none() => {}
            Ok(None) | Err(_) => self.store_conn_lost(now, conn_key),
        }
    }

    /// Handles the timer of a connection to the store: the call in flight timed out, or the
    /// connection was idle for too long. Closes it in both cases. What kept the response back may
    /// have silenced the idle connections too, so after a timeout they are closed.
    pub(crate) fn store_timeout(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.store_conn(conn_key) else {
            return;
        };
        let call = conn.call.take();
        self.remove_store_conn(conn_key);
        if let Some((id, _)) = call {
            for idle in std::mem::take(&mut self.store_conns.idle) {
                self.remove_conn(idle);
            }
            self.complete_store_call(now, id, Err(StoreCallError::Timeout));
        }
    }

    fn store_conn(&mut self, conn_key: usize) -> Option<&mut StoreConn> {
        match &mut self.conns.get_mut(conn_key)?.kind {
            ConnKind::Store(conn) => Some(conn),
            _ => None,
        }
    }

    /// Sends a call to the store on an idle connection or a new one.
    fn start_store_call(&mut self, now: Time, id: StoreCallId, call: StoreCall, timeout: Span) {
        let conn_key = match self.store_conns.idle.pop() {
            Some(conn_key) => Some(conn_key),
            None => self.open_store_conn(now),
        };
        let Some(conn_key) = conn_key else {
            self.complete_store_call(now, id, Err(StoreCallError::Connection));
            return;
        };
        let mut bytes = Vec::new();
        encode_call(&call, &self.settings.store.to_string()).encode(&mut bytes);
        self.metrics.store_calls.inc();
        self.store_conns.calls.insert(id, conn_key);
        if let Some(conn) = self.store_conn(conn_key) {
            conn.call = Some((id, call));
        }
        self.set_timer(conn_key, now + timeout);
        if self.write_conn(conn_key, &bytes, now).is_err() {
            self.store_conn_lost(now, conn_key);
        }
    }

    /// Connects to the store; `None` if the system refuses.
    fn open_store_conn(&mut self, now: Time) -> Option<usize> {
        let kind = ConnKind::Store(StoreConn {
            call: None,
            reader: ResponseReader::new(Limits {
                body_bytes: MAX_BODY_BYTES,
                ..Limits::default()
            }),
        });
        // The error is dropped: the call to the store fails without a connection, and the store
        // client reports that the store is unavailable.
        let conn_key = self.connect(self.settings.store, kind, now).ok()?;
        if let Some(conn) = self.conns.get(conn_key) {
            // If the options can't be set, only the call's timeout detects a dead connection.
            let _ = conn.channel.detect_loss();
        }
        Some(conn_key)
    }

    /// Decodes a response of the store, which completes the call in flight.
    fn handle_store_response(
        &mut self,
        now: Time,
        conn_key: usize,
        response: &Response,
        ended: bool,
    ) {
        let Some(conn) = self.store_conn(conn_key) else {
            return;
        };
        let Some((id, call)) = conn.call.take() else {
            return;
        };
        // The connection is free for other calls now, so cancelling this one must not close it.
        self.store_conns.calls.remove(&id);
        if response.closes_connection || ended {
            self.remove_store_conn(conn_key);
        } else {
            self.store_conns.idle.push(conn_key);
            self.set_timer(conn_key, now + STORE_IDLE_TIMEOUT);
        }
        match platform::store_era(response) {
            Ok(era) => self.observe_era(now, era),
            Err(error) => {
                let fields = json!({"status": response.status, "reason": error.to_string()});
                self.log_event(now, log_event::REPLY_UNREADABLE, fields);
            }
        }
        let departure = self.store.departure(now);
        let reply = platform::decode_reply(&call, response, departure);
        if let Err(error) = &reply {
            let fields = json!({"status": response.status, "reason": error.to_string()});
            self.log_event(now, log_event::REPLY_UNREADABLE, fields);
        }
        let reply = reply.map_err(|_| StoreCallError::Unreadable);
        self.complete_store_call(now, id, reply);
    }

    /// Closes a failed connection and fails its call, if any.
    fn store_conn_lost(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.store_conn(conn_key) else {
            return;
        };
        let call = conn.call.take();
        self.remove_store_conn(conn_key);
        if let Some((id, _)) = call {
            self.complete_store_call(now, id, Err(StoreCallError::Connection));
        }
    }

    /// Closes a connection to the store.
    fn remove_store_conn(&mut self, conn_key: usize) {
        self.store_conns.idle.retain(|other| *other != conn_key);
        self.remove_conn(conn_key);
    }

    /// Passes the result of a call to the store client.
    fn complete_store_call(
        &mut self,
        now: Time,
        id: StoreCallId,
        result: Result<platform::StoreReply, StoreCallError>,
    ) {
        self.store_conns.calls.remove(&id);
        let actions = self.store.complete_call(now, id, result);
        self.run_store_actions(now, actions);
    }

    /// Handles an event of the store client.
    fn handle_store_event(&mut self, now: Time, event: StoreEvent) {
        match event {
            StoreEvent::Change(change) => self.apply_change(now, change, STORE_SOURCE),
            StoreEvent::Unavailable(topic) => {
                let topic = topic.map(|topic| format!("{topic:?}").to_lowercase());
                self.log_event(now, log_event::STORE_LOST, json!({"topic": topic}));
            }
            StoreEvent::Members(entries) => {
                let names: Set<Name> = entries
                    .iter()
                    .map(|(_, entry)| entry.name.clone())
                    .collect();
                for (_, entry) in &entries {
                    let (name, centre) = (entry.name.clone(), entry.centre.clone());
                    self.roster.add_member(now, name, centre, entry.ip);
                }
                self.roster.retain_registered(now, &names);
                self.remove_expired_members(now, &entries);
                self.update_table_members();
                self.update_store_role(now);
                let own = self.own_state();
                let actions = self.roster.announce(now, &own);
                self.run_roster_actions(now, actions);
            }
            StoreEvent::Registered(new) => {
                let delay = if new { JOIN_DELAY } else { Span::ZERO };
                self.dispatcher.table.allow_shares_from(Some(now + delay));
            }
            StoreEvent::Recovered => self.log_event(now, log_event::STORE_REGAINED, json!({})),
            StoreEvent::Restored(era) => {
                let fields = json!({"era": era.0});
                self.log_event(now, log_event::STORE_RESTORED, fields);
            }
            StoreEvent::WatchesRenewed(watches, reason) => {
                let reason = match reason {
                    RenewalReason::Outdated => "a probe brought a change that the watch lacks",
                    RenewalReason::Silent => "a watch had no response in its time",
                    RenewalReason::Unanswered => "the store left a call without a response",
                };
                let fields = json!({"watches": watches, "reason": reason});
                self.log_event(now, log_event::WATCHES_RENEWED, fields);
            }
            StoreEvent::Unreadable(name, reason) => {
                let fields = json!({"object": name, "reason": reason.to_string()});
                self.log_event(now, log_event::OBJECT_UNREADABLE, fields);
            }
        }
    }

    /// Removes the store entries of daemons that the roster considers gone for good.
    fn remove_expired_members(&mut self, now: Time, entries: &[(Rev, MemberEntry)]) {
        let expired = self.roster.expired_members(now);
        for (rev, entry) in entries {
            if expired.contains(&entry.name) {
                self.log_event(now, log_event::MEMBER_REMOVED, json!({"peer": entry.name}));
                let actions = self.store.remove_member(entry.name.clone(), *rev);
                self.run_store_actions(now, actions);
            }
        }
    }

    /// Tells the worker table which daemons share the fleet's limits.
    pub(crate) fn update_table_members(&mut self) {
        let members = self.roster.members().iter();
        let centres = members.map(|(name, member)| (name, &member.centre));
        self.dispatcher.table.set_members(centres);
    }
}
