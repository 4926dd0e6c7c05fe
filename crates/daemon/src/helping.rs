//! Requests that other daemons, which can't reach the workers, pass on to this one.

use {
    crate::{
        callers::{PendingResponse, ResponseProgress},
        conn::ConnKind,
        daemon::Daemon,
        log_event,
        requests::ActiveRequest,
    },
    call::{CallError, CallId},
    forward::{ForwardExtended, ForwardReply, ForwardRequest, Intake},
    peer::{FrameCodec, Stage},
    serde_json::json,
    site::Route,
    std::net::IpAddr,
    unit::Time,
    wire::Request,
};

impl Daemon {
    /// Turns the connection on which another daemon forwards a request into one that is read like a
    /// caller's. One that doesn't come from a registered daemon is closed.
    pub(crate) fn accept_forward(&mut self, now: Time, conn_key: usize, request: ForwardExtended) {
        let Some(conn) = self.conns.get_mut(conn_key) else {
            return;
        };
        let ConnKind::FetchServer(server) = &mut conn.kind else {
            return;
        };
        let rest = server.take_rest();
        let from = conn.channel.sock.peer_addr().map(|address| address.ip());
        let known = |from: &IpAddr| {
            let mut members = self.roster.members().values();
            members.any(|member| IpAddr::V4(member.ip) == *from)
        };
        if !from.is_ok_and(|from| known(&from)) {
            self.reject_peer(now, conn_key, "a request was forwarded by a stranger");
            return;
        }
        let kind = self.new_caller_conn(Some(request));
        if let Some(conn) = self.conns.get_mut(conn_key) {
            conn.kind = kind;
            self.caller_count += 1;
        }
        self.caller_read(now, conn_key, &rest, None);
    }

    /// What another daemon said of the request on a connection; `None` if it is a caller's.
    pub(crate) fn forwarded(&self, conn_key: usize) -> Option<&ForwardExtended> {
        match &self.conns.get(conn_key)?.kind {
            ConnKind::Caller(caller) => caller.forwarded.as_ref(),
            _ => None,
        }
    }

    /// Whether this daemon takes a request that another one forwards, beside its own.
    pub(crate) fn takes_forwarded(
        &self,
        forwarded: &ForwardRequest,
        request: &Request,
        route: &Route,
    ) -> bool {
        let others = self.calls.values().filter(|active| active.forwarded);
        let (mut in_flight, mut body_bytes) = (0, request.body.len());
        for active in others {
            in_flight += 1;
            body_bytes += active.request.body.len();
        }
        let intake = Intake {
            body_bytes,
            config: self.config.as_ref().map_or(0, |config| config.version),
            cut: self.dispatcher.is_cut(&forwarded.service),
            in_flight,
            ready: self.stage == Stage::Ready,
            routed: route
                .targets
                .iter()
                .any(|target| target.service == forwarded.service),
        };
        intake.admits(forwarded)
    }

    /// Logs and counts that this daemon takes a request that another one forwards.
    pub(crate) fn record_taken(&mut self, now: Time, conn_key: usize, id: &str) {
        self.metrics.count_forward("taken");
        let conn = self.conns.get(conn_key);
        let from = conn.and_then(|conn| conn.channel.sock.peer_addr().ok());
        let from = from.map(|address| address.ip().to_string());
        let fields = json!({"request": id, "elapsed_ms": 0, "peer": from});
        self.log_event(now, log_event::FORWARD_TAKEN, fields);
    }

    /// The frame that precedes a response on a connection of another daemon; nothing on a caller's.
    pub(crate) fn reply_prefix(&self, conn_key: usize, reply: ForwardReply) -> Vec<u8> {
        if self.forwarded(conn_key).is_none() {
            return Vec::new();
        }
        // A reply is far below the size limit, which is all that could fail; without it the other
        // daemon takes the request for lost.
        FrameCodec::encode(&reply).unwrap_or_default()
    }

    /// Answers a forwarded request without a worker's response. Returns whether the request was
    /// forwarded.
    pub(crate) fn reply_to_peer(
        &mut self,
        now: Time,
        active: &ActiveRequest,
        id: CallId,
        error: CallError,
    ) -> bool {
        if !active.forwarded {
            return false;
        }
        let bytes = self.reply_prefix(active.conn_key, reply(error));
        if let Some(pending) = self.pending_response(active, id) {
            pending.bytes = bytes;
            pending.progress = ResponseProgress::Complete;
            self.send_responses(now, active.conn_key);
        }
        true
    }

    /// Declines the forwarded request on a connection, which closes.
    pub(crate) fn decline_forwarded(&mut self, now: Time, conn_key: usize) {
        let bytes = self.reply_prefix(conn_key, ForwardReply::Declined);
        if let Some(caller) = self.caller_conn(conn_key) {
            caller.closing = true;
            caller.pipeline.push_back(PendingResponse {
                bytes,
                call: None,
                last: true,
                progress: ResponseProgress::Complete,
            });
        }
        self.metrics.count_forward("refused");
        self.send_responses(now, conn_key);
    }
}

/// What a helper says of a request that it couldn't have served.
fn reply(error: CallError) -> ForwardReply {
    match error {
        CallError::Barred(span) => ForwardReply::Barred(span),
        CallError::Lost => ForwardReply::Lost,
        CallError::NotRun(span) => ForwardReply::NotRun(span),
        CallError::Timeout => ForwardReply::Timeout,
    }
}
