//! Connections to the platform's store.

use {
    crate::{
        conn::ConnKind,
        constants::{MAX_RESPONSE_BYTES, STORE_IDLE_TIMEOUT},
        daemon::Daemon,
        log_event,
    },
    pick::WorkerKey,
    platform::{MemberEntry, StoreCall, encode_call},
    serde_json::json,
    site::{Change, Effect, Rev, Topic},
    store::{CallError, CallId, Role, StoreAction, StoreEvent},
    unit::{Name, Set, Span, Time},
    wire::{ConnectionEnd, Limits, Response, ResponseReader},
};

/// The source of what the store told itself, in the log.
const STORE: &str = "store";
/// How long a daemon that is new to the fleet leaves cold workers to the others, which may not know
/// yet that they share them with it.
const JOIN_WAIT: Span = Span::secs(3);

/// A connection to the store, for one call at a time.
#[derive(Debug)]
pub(crate) struct StoreConn {
    /// The call under way.
    call: Option<(CallId, StoreCall)>,
    reader: ResponseReader,
}

impl Daemon {
    pub(crate) fn store_tick(&mut self, now: Time) {
        let actions = self.store.tick(now, &self.view.revs());
        self.run_store_actions(now, actions);
    }

    /// Takes on or gives up the watch, as the roster says.
    pub(crate) fn update_store_role(&mut self, now: Time) {
        let must = self.roster.must_watch(now, &self.own_state());
        let role = if must { Role::Watcher } else { Role::Follower };
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

    pub(crate) fn run_store_actions(&mut self, now: Time, actions: Vec<StoreAction>) {
        for action in actions {
            match action {
                StoreAction::Call(id, call, time) => self.store_call(now, id, call, time),
                StoreAction::Cancel(id) => {
                    if let Some(place) = self.store_calls.remove(&id) {
                        self.remove_conn(place);
                    }
                }
                StoreAction::Notify(news) => self.store_news(now, news),
            }
        }
    }

    pub(crate) fn store_read(
        &mut self,
        now: Time,
        place: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(conn) = self.store_conn(place) else {
            return;
        };
        conn.reader.push(bytes);
        if conn.call.is_none() {
            self.drop_store(place);
            return;
        }
        match conn.reader.next_response(false) {
            Ok(Some(response)) => self.store_response(now, place, &response, ending.is_some()),
            Ok(None) if ending.is_none() => {}
            Ok(None) | Err(_) => self.store_broken(now, place),
        }
    }

    /// Gives up on a call that took too long, or closes a connection that was free for long.
    pub(crate) fn store_timeout(&mut self, now: Time, place: usize) {
        let Some(conn) = self.store_conn(place) else {
            return;
        };
        let call = conn.call.take();
        self.drop_store(place);
        if let Some((id, _)) = call {
            self.store_answered(now, id, Err(CallError::Timeout));
        }
    }

    /// Takes in what is new of the site, from the store or from another daemon.
    pub(crate) fn apply_change(&mut self, now: Time, change: Change, source: &str) {
        let (topic, rev) = (change.topic, change.rev);
        let before = self.view.revs();
        let effects = self.view.apply(change, now);
        for effect in effects {
            self.apply_effect(now, effect, source, rev.0);
        }
        if source != STORE && self.view.revs().of(topic) > before.of(topic) {
            self.store.peer_ahead(topic, now);
        }
        if topic == Topic::Workers {
            self.prune_pools();
        }
        if self.view.revs().ahead(&before) {
            let own = self.own_state();
            let actions = self.roster.announce(now, &own);
            self.run_roster_actions(now, actions);
        }
        self.check_ready(now);
    }

    fn apply_effect(&mut self, now: Time, effect: Effect, source: &str, rev: u64) {
        match effect {
            Effect::Config(version) => {
                self.config = self.view.config().cloned();
                if let Some(config) = &self.config {
                    self.dispatcher.configure(std::sync::Arc::clone(config));
                }
                let fields = json!({"version": version, "rev": rev, "source": source});
                self.log_event(now, log_event::CONFIG_IN_FORCE, fields);
            }
            Effect::Evacuation(centre, out) => {
                self.dispatcher.table.set_evacuated(centre.clone(), out);
                let event = if out {
                    log_event::CENTRE_EVACUATED
                } else {
                    log_event::CENTRE_RETURNED
                };
                let fields = json!({"centre": centre, "rev": rev, "source": source});
                self.log_event(now, event, fields);
            }
            Effect::Worker(worker) => {
                let fields = json!({
                    "worker": worker.id,
                    "service": worker.service,
                    "state": format!("{:?}", worker.state).to_lowercase(),
                    "cold_ms": worker.cold_remaining.as_millis(),
                    "rev": rev,
                    "source": source,
                });
                self.log_event(now, log_event::WORKER_ENTERED, fields);
                let _: WorkerKey = self.dispatcher.table.upsert(worker, now);
            }
            Effect::WorkerRemoved(id, departure) => {
                let fields = json!({
                    "worker": id,
                    "departure": format!("{departure:?}").to_lowercase(),
                    "rev": rev,
                    "source": source,
                });
                self.log_event(now, log_event::WORKER_GONE, fields);
                let drain = self.settings.bounds.drain;
                self.dispatcher
                    .table
                    .mark_removed(&id, departure, drain, now);
            }
            Effect::WorkerStale(id) => {
                let fields = json!({"worker": id, "rev": rev, "source": source});
                self.log_event(now, log_event::WORKER_ENTRY_STALE, fields);
            }
        }
    }

    fn store_conn(&mut self, place: usize) -> Option<&mut StoreConn> {
        match &mut self.conns.get_mut(place)?.kind {
            ConnKind::Store(conn) => Some(conn),
            _ => None,
        }
    }

    fn store_call(&mut self, now: Time, id: CallId, call: StoreCall, time: Span) {
        let place = match self.store_idle.pop() {
            Some(place) => Some(place),
            None => self.open_store(now),
        };
        let Some(place) = place else {
            self.store_answered(now, id, Err(CallError::Connection));
            return;
        };
        let mut bytes = Vec::new();
        encode_call(&call, &self.settings.store.to_string()).encode(&mut bytes);
        self.metrics.store_calls.inc();
        self.store_calls.insert(id, place);
        if let Some(conn) = self.store_conn(place) {
            conn.call = Some((id, call));
        }
        self.set_timer(place, now + time);
        if self.write_conn(place, &bytes, now).is_err() {
            self.store_broken(now, place);
        }
    }

    fn open_store(&mut self, now: Time) -> Option<usize> {
        let kind = ConnKind::Store(StoreConn {
            call: None,
            reader: ResponseReader::new(Limits {
                body_bytes: MAX_RESPONSE_BYTES,
                ..Limits::default()
            }),
        });
        // The caller reports the loss of the store.
        let place = self.connect(self.settings.store, kind, now).ok()?;
        if let Some(conn) = self.conns.get(place) {
            // Without the options a silent connection is found by the call's own time limit.
            let _ = conn.channel.detect_loss();
        }
        Some(place)
    }

    fn store_response(&mut self, now: Time, place: usize, response: &Response, ended: bool) {
        let Some(conn) = self.store_conn(place) else {
            return;
        };
        let Some((id, call)) = conn.call.take() else {
            return;
        };
        if response.closes_connection || ended {
            self.drop_store(place);
        } else {
            self.store_idle.push(place);
            self.set_timer(place, now + STORE_IDLE_TIMEOUT);
        }
        let departure = self.store.departure(now);
        let reply = platform::decode_reply(&call, response, departure);
        if let Err(error) = &reply {
            let fields = json!({"status": response.status, "reason": error.to_string()});
            self.log_event(now, log_event::REPLY_UNREADABLE, fields);
        }
        let reply = reply.map_err(|_| CallError::Unreadable);
        self.store_answered(now, id, reply);
    }

    /// Takes in that a connection broke.
    fn store_broken(&mut self, now: Time, place: usize) {
        let Some(conn) = self.store_conn(place) else {
            return;
        };
        let call = conn.call.take();
        self.drop_store(place);
        if let Some((id, _)) = call {
            self.store_answered(now, id, Err(CallError::Connection));
        }
    }

    fn drop_store(&mut self, place: usize) {
        self.store_idle.retain(|other| *other != place);
        self.remove_conn(place);
    }

    fn store_answered(
        &mut self,
        now: Time,
        id: CallId,
        answer: Result<platform::StoreReply, CallError>,
    ) {
        self.store_calls.remove(&id);
        let actions = self.store.complete_call(now, id, answer);
        self.run_store_actions(now, actions);
    }

    fn store_news(&mut self, now: Time, news: StoreEvent) {
        match news {
            StoreEvent::Change(change) => self.apply_change(now, change, STORE),
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
                self.remove_retired(now, &entries);
                self.update_table_members();
                self.update_store_role(now);
                let own = self.own_state();
                let actions = self.roster.announce(now, &own);
                self.run_roster_actions(now, actions);
            }
            StoreEvent::Registered(new) => {
                let wait = if new { JOIN_WAIT } else { Span::ZERO };
                self.dispatcher.table.allow_cold_from(Some(now + wait));
            }
            StoreEvent::Recovered => self.log_event(now, log_event::STORE_REGAINED, json!({})),
            StoreEvent::Unreadable(name, reason) => {
                let fields = json!({"object": name, "reason": reason.to_string()});
                self.log_event(now, log_event::OBJECT_UNREADABLE, fields);
            }
        }
    }

    /// Takes away the entries of daemons that are gone for good.
    fn remove_retired(&mut self, now: Time, entries: &[(Rev, MemberEntry)]) {
        let retired = self.roster.expired_members(now);
        for (rev, entry) in entries {
            if retired.contains(&entry.name) {
                self.log_event(now, log_event::MEMBER_REMOVED, json!({"peer": entry.name}));
                let actions = self.store.remove_member(entry.name.clone(), *rev);
                self.run_store_actions(now, actions);
            }
        }
    }

    /// Lets the table know which daemons share the fleet's limits.
    pub(crate) fn update_table_members(&mut self) {
        let members = self.roster.members().iter();
        let centres = members.map(|(name, member)| (name.clone(), member.centre.clone()));
        let centres: unit::Map<Name, Name> = centres.collect();
        if centres.len() + 1 != self.dispatcher.table.member_count() {
            self.dispatcher.table.set_members(centres);
        }
    }
}
