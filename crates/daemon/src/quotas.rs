//! Quotas of client accounts: messages between daemons, and requests that wait for tokens.

use {
    crate::{daemon::Daemon, log_event, requests::ActiveRequest},
    call::{Arrival, CallEvent, CallId},
    peer::{Datagram, Stage},
    platform::problem_response,
    quota::{Admission, Message, QuotaAction, QuotaEvent, RequestId, Voter},
    serde_json::{Value, json},
    site::Config,
    std::net::{Ipv4Addr, SocketAddr},
    unit::{Span, Time},
};

/// The longest time for which a request waits for a token.
const MAX_WAIT: Span = Span::millis(150);
/// The largest part of its latency objective for which it does.
const WAIT_FRACTION: f64 = 0.25;

/// The status of a request that is beyond its account's quota.
const OVER_QUOTA: u16 = 429;

impl Daemon {
    /// Submits a request of a caller, or lets it wait, or answers it, as its account's quota says.
    pub(crate) fn submit_within_quota(&mut self, now: Time, arrival: Arrival) {
        let name = arrival.account.as_ref().map(|account| account.name.clone());
        // The daemon that forwarded a request has taken a token for it.
        let Some(name) = name.filter(|_| arrival.forwarded.is_none()) else {
            self.dispatch(now, CallEvent::Arrived(arrival));
            return;
        };
        let id = RequestId(arrival.call.0);
        let max_wait = arrival.route.objective.scale(WAIT_FRACTION).min(MAX_WAIT);
        match self.quota.admit(now, id, &name, max_wait) {
            Admission::Admitted => self.dispatch(now, CallEvent::Arrived(arrival)),
            Admission::Refused(retry_after) => {
                self.refuse_over_quota(now, arrival.call, retry_after);
            }
            Admission::Waiting => {
                self.quota_waits.insert(arrival.call, arrival);
            }
        }
        self.run_quota_actions(now);
    }

    /// Forgets a request that waits for a token, as its caller is gone.
    pub(crate) fn cancel_quota_wait(&mut self, call: CallId) {
        let account = self.quota_waits.remove(&call);
        if let Some(account) = account.and_then(|arrival| arrival.account) {
            self.quota.cancel(&account.name, RequestId(call.0));
        }
    }

    /// Applies the accounts' quotas of a configuration.
    pub(crate) fn configure_quotas(&mut self, now: Time, config: &Config) {
        let accounts = config.accounts.values().map(|account| &**account);
        self.quota
            .configure(now, accounts, self.settings.bounds.quotas);
        self.run_quota_actions(now);
    }

    /// Tells the quotas which daemons are registered, and which of them may grant tokens.
    pub(crate) fn update_quota_members(&mut self, now: Time) {
        if self.settings.bounds.quotas.is_none() || !self.roster.knows_registry() {
            return;
        }
        let members = self.roster.members().values();
        let mut voters: Vec<Voter> = members
            .map(|member| {
                let reads = member.may_read_extended();
                let alive = self.roster.is_alive(member, now);
                Voter {
                    eligible: alive && reads && member.stage == Stage::Ready,
                    ip: member.ip,
                    reads,
                }
            })
            .collect();
        voters.push(Voter {
            eligible: self.stage == Stage::Ready,
            ip: self.settings.ip,
            reads: true,
        });
        self.quota.set_members(now, voters);
    }

    /// Handles a message about quotas.
    pub(crate) fn handle_quota_datagram(&mut self, body: &[u8], from: SocketAddr) {
        // Leases are counted from the clock as it is after the message was received.
        let now = self.clock.now();
        let SocketAddr::V4(address) = from else {
            return;
        };
        match peer::decode::<Message>(body) {
            Ok(message) => {
                self.quota.handle(now, *address.ip(), message);
                self.run_quota_actions(now);
            }
            Err(error) => {
                let fields = json!({"peer": from.to_string(), "reason": error.to_string()});
                self.log_event(now, log_event::PEER_MESSAGE_REFUSED, fields);
            }
        }
    }

    /// Does what is due for quotas.
    pub(crate) fn quota_tick(&mut self) {
        let now = self.clock.now();
        self.quota.tick(now);
        self.run_quota_actions(now);
    }

    /// Stops granting tokens, as this daemon is stopping.
    pub(crate) fn retire_quotas(&mut self, now: Time) {
        self.quota.retire(now);
        self.run_quota_actions(now);
    }

    /// The use of an account's quota, for operators; null if it has none.
    pub(crate) fn quota_json(&self, now: Time, account: &str) -> Value {
        self.quota.usage(now, account).map_or(Value::Null, |usage| {
            json!({
                "admitted": usage.admitted,
                "refused": usage.refused,
                "demand": usage.demand,
                "tokens": usage.tokens,
                "waiting": usage.waiting,
                "grantor": usage.grantor.map(|ip| ip.to_string()),
            })
        })
    }

    fn run_quota_actions(&mut self, now: Time) {
        for action in self.quota.take_actions() {
            match action {
                QuotaAction::Admit(id) => self.admit_waiting(now, CallId(id.0)),
                QuotaAction::Refuse(id, retry_after) => {
                    let call = CallId(id.0);
                    self.quota_waits.remove(&call);
                    self.refuse_over_quota(now, call, retry_after);
                }
                QuotaAction::Send(to, message) => self.send_quota_message(to, &message),
            }
        }
        for event in self.quota.take_events() {
            let (event, shard) = match event {
                QuotaEvent::TenureBegan(shard) => (log_event::QUOTA_TENURE_BEGAN, shard),
                QuotaEvent::TenureEnded(shard) => (log_event::QUOTA_TENURE_ENDED, shard),
            };
            self.log_event(now, event, json!({"shard": shard}));
        }
    }

    fn admit_waiting(&mut self, now: Time, call: CallId) {
        let Some(mut arrival) = self.quota_waits.remove(&call) else {
            return;
        };
        if let Some(active) = self.calls.get(&call) {
            arrival.waited = now.since(active.started);
            self.dispatch(now, CallEvent::Arrived(arrival));
        }
    }

    /// Answers a request that is beyond its account's quota. It hasn't run and won't.
    fn refuse_over_quota(&mut self, now: Time, call: CallId, retry_after: Span) {
        let Some(active) = self.calls.remove(&call) else {
            return;
        };
        self.metrics.count_own_response(OVER_QUOTA);
        self.log_over_quota(now, &active, retry_after);
        let detail = "the account's quota is used up; the request has not run";
        let response = problem_response(OVER_QUOTA, detail, Some(&active.id), Some(retry_after));
        self.respond_to_caller(now, &active, call, response);
    }

    fn log_over_quota(&mut self, now: Time, active: &ActiveRequest, retry_after: Span) {
        let fields = json!({
            "request": active.id,
            "account": active.account,
            "retry_ms": retry_after.as_millis(),
            "elapsed_ms": now.since(active.started).as_millis(),
        });
        self.log_event(now, log_event::OVER_QUOTA, fields);
    }

    fn send_quota_message(&mut self, to: Ipv4Addr, message: &Message) {
        let Ok(bytes) = Datagram::encode_quota(message) else {
            return;
        };
        let to = SocketAddr::V4(self.peer_address(to));
        // A message that can't be sent counts as lost on the network; it is repeated.
        let _ = self.listeners.udp_socket.send_to(&bytes, to);
    }
}
