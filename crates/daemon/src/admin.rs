//! Connections to the directory, the readiness address and the operators' address.

use {
    crate::{
        conn::ConnKind,
        constants::{ADMIN_IDLE_TIMEOUT, DIRECTORY_TTL, MAX_DIRECTORY_ADDRESSES},
        daemon::Daemon,
        listeners::ListenerKind,
    },
    peer::Stage,
    platform::{AdminCall, encode_addresses, problem_response, read_admin_call},
    std::net::{Ipv4Addr, SocketAddrV4},
    unit::{Name, Time},
    wire::{ConnectionEnd, Limits, Request, RequestReader, Response},
};

/// The longest body of a request, in bytes. None of the requests here needs one.
const MAX_BODY_BYTES: usize = 1 << 10;

/// A connection to the directory, the readiness address or the operators' address.
#[derive(Debug)]
pub(crate) struct AdminConn {
    /// The listener that accepted the connection.
    listener: ListenerKind,
    reader: RequestReader,
}

impl Daemon {
    /// The state of a new connection that `listener` accepted.
    pub(crate) fn new_admin(&self, listener: ListenerKind) -> ConnKind {
        ConnKind::Admin(AdminConn {
            listener,
            reader: RequestReader::new(Limits {
                body_bytes: MAX_BODY_BYTES,
                ..Limits::default()
            }),
        })
    }

    /// Handles bytes that arrived on a connection, and its end.
    pub(crate) fn admin_read(
        &mut self,
        now: Time,
        conn_key: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(admin) = self.admin_conn(conn_key) else {
            return;
        };
        admin.reader.push(bytes);
        self.admin_requests(now, conn_key);
        if ending.is_some() {
            self.remove_conn(conn_key);
        } else if self.admin_conn(conn_key).is_some() {
            self.set_timer(conn_key, now + ADMIN_IDLE_TIMEOUT);
        }
    }

    /// The state of a connection; `None` if it is gone or of another kind.
    fn admin_conn(&mut self, conn_key: usize) -> Option<&mut AdminConn> {
        match &mut self.conns.get_mut(conn_key)?.kind {
            ConnKind::Admin(admin) => Some(admin),
            _ => None,
        }
    }

    /// Answers all complete requests that have arrived on a connection.
    fn admin_requests(&mut self, now: Time, conn_key: usize) {
        while let Some(admin) = self.admin_conn(conn_key) {
            let listener = admin.listener;
            let (mut response, is_head, last) = match admin.reader.next_request() {
                Ok(None) => return,
                Ok(Some(request)) => {
                    let response = self.admin_response(now, listener, &request);
                    (
                        response,
                        request.method == "HEAD",
                        request.closes_connection(),
                    )
                }
                Err(error) => {
                    let response = problem_response(error.status(), &error.to_string(), None, None);
                    (response, false, true)
                }
            };
            response.closes_connection = last;
            let mut out = Vec::new();
            response.encode(&mut out, is_head);
            // A failure is ignored here; the next read of the connection reports it.
            let _ = self.write_conn(conn_key, &out, now);
            if last {
                self.linger(conn_key, now);
            }
        }
    }

    /// The response to a request. Readiness is reported on every listener.
    fn admin_response(&mut self, now: Time, listener: ListenerKind, request: &Request) -> Response {
        match (listener, read_admin_call(request)) {
            (_, AdminCall::Ready) => self.readiness_response(),
            (ListenerKind::Directory, AdminCall::Resolve { centre }) => {
                self.metrics.resolves.inc();
                self.resolve_response(now, centre.as_deref())
            }
            (ListenerKind::Operators, _) => self.operators_response(now, request),
            _ => problem_response(404, "there is nothing at this path", None, None),
        }
    }

    /// Status 200 if this daemon is ready, else 503 with the reason.
    fn readiness_response(&self) -> Response {
        match self.stage {
            Stage::Ready => Response::new(200),
            Stage::Leaving => problem_response(503, "this daemon is stopping", None, None),
            Stage::Starting => problem_response(503, "this daemon is starting", None, None),
        }
    }

    /// The addresses that a caller may use: the ready daemons in the caller's data centre, or all
    /// ready daemons if none is there.
    fn resolve_response(&self, now: Time, centre: Option<&str>) -> Response {
        let mut ready = self.ready_daemons(now);
        if ready.is_empty() {
            return problem_response(503, "no daemon is known to be ready", None, None);
        }
        if ready
            .iter()
            .any(|(daemon_centre, _)| Some(&**daemon_centre) == centre)
        {
            ready.retain(|(daemon_centre, _)| Some(&**daemon_centre) == centre);
        }
        fastrand::shuffle(&mut ready);
        ready.truncate(MAX_DIRECTORY_ADDRESSES);
        let port = self.settings.listen.callers.port();
        let addresses: Vec<SocketAddrV4> = ready
            .into_iter()
            .map(|(_, ip)| SocketAddrV4::new(ip, port))
            .collect();
        let ttl = DIRECTORY_TTL.min(self.settings.bounds.max_ttl);
        encode_addresses(&addresses, ttl)
    }

    /// The data centre and address of each ready daemon, this one included if it is ready.
    fn ready_daemons(&self, now: Time) -> Vec<(Name, Ipv4Addr)> {
        let others = self.roster.members().values();
        let mut ready: Vec<(Name, Ipv4Addr)> = others
            .filter(|member| self.roster.is_alive(member, now) && member.stage == Stage::Ready)
            .map(|member| (member.centre.clone(), member.ip))
            .collect();
        if self.stage == Stage::Ready {
            ready.push((self.settings.centre.clone(), self.settings.ip));
        }
        ready
    }
}
