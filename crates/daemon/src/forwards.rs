//! Requests that this daemon passes on to another one, since it can't reach the workers itself.

use {
    crate::{conn::ConnKind, daemon::Daemon, relays::partial_body, workers::LinkState},
    call::{
        AttemptEnding, CallError, CallEvent, CallId, ForwardEnding, ForwardOrder, LinkId,
        PartialVerdict,
    },
    forward::{ForwardExtended, ForwardReply, ForwardRequest},
    peer::{Format, FrameCodec, PeerRequest},
    platform::{encode_passed_on, read_response_head},
    site::Notice,
    unit::{Name, Span, Time},
    wire::{ConnectionEnd, Limits, Response, ResponseReader},
};

/// How long connecting to a helper may take.
const CONNECT_TIMEOUT: Span = Span::millis(100);

/// How far the answer to a forwarded request has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ForwardPhase {
    /// The helper's reply is awaited.
    Reply,
    /// A worker's response follows the reply.
    Response,
    /// The response is being passed on to its caller.
    Relaying,
}

/// A connection to a helper, for one request.
#[derive(Debug)]
pub(crate) struct ForwardConn {
    pub(crate) call: CallId,
    codec: FrameCodec,
    /// The request's id.
    id: Name,
    /// Whether it is a HEAD request, whose response has no body.
    is_head: bool,
    link: LinkId,
    phase: ForwardPhase,
    pub(crate) reader: ResponseReader,
    /// The hash of the process run of the worker that responds, once the helper has told it.
    run: Option<u32>,
}

impl ForwardConn {
    /// Whether the response is being passed on to its caller.
    pub(crate) fn is_relaying(&self) -> bool {
        self.phase == ForwardPhase::Relaying
    }
}

impl Daemon {
    /// Forwards a request as the dispatcher decided.
    pub(crate) fn forward(&mut self, now: Time, order: &ForwardOrder) {
        if self.try_forward(now, order).is_none() {
            let declined = CallEvent::ForwardEnded(order.link, ForwardEnding::Declined);
            self.call_events.push_back(declined);
        }
    }

    /// Forwards a request; `None` if it is gone or the system refuses to connect.
    fn try_forward(&mut self, now: Time, order: &ForwardOrder) -> Option<()> {
        let ForwardOrder {
            attempts,
            call,
            helper,
            link,
            time_left,
        } = *order;
        let active = self.calls.get(&call)?;
        let request = ForwardRequest {
            attempts,
            config: self.config.as_ref()?.version,
            service: self.dispatcher.service_of(call)?.clone(),
        };
        let has_accounts = self.dispatcher.accounts().is_enabled();
        let account = active.account.clone();
        let head = match (self.roster.format_of(now, helper), account) {
            (Format::Extended, account) => {
                PeerRequest::ForwardExtended(ForwardExtended { account, request })
            }
            (Format::Legacy, None) => PeerRequest::Forward(request),
            // The helper was restarted with another build since it was chosen.
            (Format::Legacy, Some(_)) => return None,
        };
        let mut bytes = FrameCodec::encode(&head).ok()?;
        bytes.extend(encode_passed_on(&active.request, has_accounts, time_left));
        let kind = ConnKind::Forward(ForwardConn {
            call,
            codec: FrameCodec::short(),
            id: active.id.clone(),
            is_head: active.is_head,
            link,
            phase: ForwardPhase::Reply,
            reader: ResponseReader::new(Limits {
                // The daemon itself decides what to do with a large response.
                body_bytes: usize::MAX,
                ..Limits::default()
            }),
            run: None,
        });
        let conn_key = self.connect(self.peer_address(helper), kind, now).ok()?;
        self.links.insert(link, LinkState::Conn(conn_key));
        self.set_timer(conn_key, now + CONNECT_TIMEOUT);
        if self.write_conn(conn_key, &bytes, now).is_err() {
            self.forward_closed(now, conn_key);
        }
        Some(())
    }

    /// Handles bytes that arrived from a helper, and the end of the connection.
    pub(crate) fn forward_read(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(conn) = self.forward_conn(conn_key) else {
            return;
        };
        if conn.phase == ForwardPhase::Reply {
            conn.codec.push(bytes);
            self.read_reply(now, conn_key);
        } else {
            conn.reader.push(bytes);
        }
        self.read_forwarded_response(now, conn_key);
        if let Some(ending) = ending
            && let Some(conn) = self.forward_conn(conn_key)
        {
            match conn.reader.finish(ending) {
                Ok(Some(response)) if conn.phase != ForwardPhase::Reply => {
                    self.forward_responded(now, conn_key, response);
                }
                _ => self.forward_closed(now, conn_key),
            }
        }
    }

    /// Handles the timer of a connection to a helper.
    pub(crate) fn forward_timeout(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        let ConnKind::Forward(forward) = &conn.kind else {
            return;
        };
        if forward.is_relaying() {
            let call = forward.call;
            self.relay_timeout(now, call);
        } else if !conn.channel.connected {
            self.forward_closed(now, conn_key);
        }
    }

    fn forward_conn(&mut self, conn_key: usize) -> Option<&mut ForwardConn> {
        match &mut self.conns.get_mut(conn_key)?.kind {
            ConnKind::Forward(conn) => Some(conn),
            _ => None,
        }
    }

    /// Handles the helper's reply once it has arrived.
    fn read_reply(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.forward_conn(conn_key) else {
            return;
        };
        let ending = match conn.codec.decode() {
            Ok(None) => return,
            Ok(Some(ForwardReply::Response(run))) => {
                conn.phase = ForwardPhase::Response;
                conn.run = run;
                let rest = conn.codec.take_rest();
                conn.reader.push(&rest);
                return;
            }
            Ok(Some(ForwardReply::Barred(span))) => ForwardEnding::Failed(CallError::Barred(span)),
            Ok(Some(ForwardReply::Declined)) => ForwardEnding::Declined,
            Ok(Some(ForwardReply::NotRun(span))) => ForwardEnding::Failed(CallError::NotRun(span)),
            Ok(Some(ForwardReply::Timeout)) => ForwardEnding::Failed(CallError::Timeout),
            Ok(Some(ForwardReply::Lost)) | Err(_) => ForwardEnding::Failed(CallError::Lost),
        };
        self.end_forward(now, conn_key, ending);
    }

    /// Handles what has arrived of a worker's response.
    fn read_forwarded_response(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.forward_conn(conn_key) else {
            return;
        };
        if conn.phase == ForwardPhase::Reply {
            return;
        }
        match conn.reader.next_response(conn.is_head) {
            Ok(Some(response)) => self.forward_responded(now, conn_key, response),
            Ok(None) if conn.is_relaying() => {
                let (call, part) = (conn.call, conn.reader.take_body());
                self.relay_body(now, call, &part, false);
            }
            Ok(None) => self.judge_forwarded(now, conn_key),
            Err(_) => self.forward_closed(now, conn_key),
        }
    }

    /// Decides what becomes of a response that is still arriving. The helper has judged it, so that
    /// it may be delivered, but for its id.
    fn judge_forwarded(&mut self, now: Time, conn_key: usize) {
        let Some(ConnKind::Forward(conn)) = self.conns.get(conn_key).map(|conn| &conn.kind) else {
            return;
        };
        let Some(partial) = conn.reader.partial() else {
            return;
        };
        let head = read_response_head(partial.head);
        let (call, link, run) = (conn.call, conn.link, conn.run);
        if head.id.as_deref() != Some(&*conn.id) {
            self.forward_closed(now, conn_key);
            return;
        }
        let served = Some(AttemptEnding::Served);
        let verdict = PartialVerdict::new(served, partial_body(&partial), || self.buffered_bytes());
        if verdict != PartialVerdict::PassOn {
            return;
        }
        if let Some(conn) = self.forward_conn(conn_key) {
            conn.phase = ForwardPhase::Relaying;
        }
        self.hear_passed_on(now, run, head.notice);
        let answered = CallEvent::ForwardEnded(link, ForwardEnding::Answered);
        self.dispatch(now, answered);
        if !self.relays.contains_key(&call) {
            // The request has ended meanwhile.
            self.remove_conn(conn_key);
        }
    }

    /// Handles a worker's complete response.
    fn forward_responded(&mut self, now: Time, conn_key: usize, response: Response) {
        let Some(conn) = self.forward_conn(conn_key) else {
            return;
        };
        let (call, link, relaying) = (conn.call, conn.link, conn.is_relaying());
        let (run, head) = (conn.run, read_response_head(&response));
        let same_id = head.id.as_deref() == Some(&*conn.id);
        if !relaying && !same_id {
            self.forward_closed(now, conn_key);
            return;
        }
        self.remove_conn(conn_key);
        if relaying {
            self.relay_body(now, call, &response.body, true);
        } else {
            self.hear_passed_on(now, run, head.notice);
            let state = LinkState::Responded(Box::new(response), None);
            self.links.insert(link, state);
            self.dispatch(now, CallEvent::ForwardEnded(link, ForwardEnding::Answered));
        }
    }

    /// Reports what a worker asks in a response that this daemon passes on.
    fn hear_passed_on(&mut self, now: Time, run: Option<u32>, notice: Notice) {
        if let Some(run) = run
            && notice != Notice::default()
        {
            self.dispatch(now, CallEvent::NoticePassedOn(run, notice));
        }
    }

    /// Handles that a connection to a helper failed before the whole response had arrived.
    fn forward_closed(&mut self, now: Time, conn_key: usize) {
        let Some(conn) = self.conns.get(conn_key) else {
            return;
        };
        let ConnKind::Forward(forward) = &conn.kind else {
            return;
        };
        if forward.is_relaying() {
            let call = forward.call;
            self.break_relay(now, call, "the helper broke off");
            return;
        }
        let ending = if conn.channel.sent == 0 {
            ForwardEnding::Declined
        } else {
            ForwardEnding::Failed(CallError::Lost)
        };
        self.end_forward(now, conn_key, ending);
    }

    /// Closes a connection to a helper and reports how its request ended.
    fn end_forward(&mut self, now: Time, conn_key: usize, ending: ForwardEnding) {
        let Some(conn) = self.forward_conn(conn_key) else {
            return;
        };
        let link = conn.link;
        self.remove_conn(conn_key);
        self.links.remove(&link);
        self.dispatch(now, CallEvent::ForwardEnded(link, ending));
    }
}
