//! Questions to the directory, to the readiness address and to the operators' address.

use {
    crate::{
        conn::ConnKind,
        daemon::Daemon,
        listeners::Door,
        options::{ADMIN_IDLE, DIRECTORY_KEEP, MAX_ADDRESSES},
    },
    peer::Stage,
    platform::{AdminCall, encode_addresses, problem_response, read_admin_call},
    std::net::{Ipv4Addr, SocketAddrV4},
    unit::{Name, Time},
    wire::{ConnectionEnd, Limits, Request, RequestReader, Response},
};

/// A connection that asks questions.
#[derive(Debug)]
pub(crate) struct Admin {
    door: Door,
    reader: RequestReader,
}

impl Daemon {
    pub(crate) fn new_admin(&self, door: Door) -> ConnKind {
        ConnKind::Admin(Admin {
            door,
            reader: RequestReader::new(Limits::default()),
        })
    }

    pub(crate) fn admin_read(
        &mut self,
        now: Time,
        place: usize,
        bytes: &[u8],
        ending: Option<ConnectionEnd>,
    ) {
        let Some(admin) = self.admin(place) else {
            return;
        };
        admin.reader.push(bytes);
        self.admin_requests(now, place);
        if ending.is_some() {
            self.remove_conn(place);
        } else {
            self.set_timer(place, now + ADMIN_IDLE);
        }
    }

    fn admin(&mut self, place: usize) -> Option<&mut Admin> {
        match &mut self.conns.get_mut(place)?.kind {
            ConnKind::Admin(admin) => Some(admin),
            _ => None,
        }
    }

    fn admin_requests(&mut self, now: Time, place: usize) {
        while let Some(admin) = self.admin(place) {
            let door = admin.door;
            let (mut response, head, last) = match admin.reader.next_request() {
                Ok(None) => return,
                Ok(Some(request)) => {
                    let response = self.admin_answer(now, door, &request);
                    (
                        response,
                        request.method == "HEAD",
                        request.closes_connection(),
                    )
                }
                Err(error) => {
                    let answer = problem_response(error.status(), &error.to_string(), None, None);
                    (answer, false, true)
                }
            };
            response.closes_connection = last;
            let mut out = Vec::new();
            response.encode(&mut out, head);
            // A failure shows when the connection is next read.
            let _ = self.write_conn(place, &out, now);
            if last {
                self.linger(place, now);
            }
        }
    }

    fn admin_answer(&mut self, now: Time, door: Door, request: &Request) -> Response {
        match (door, read_admin_call(request)) {
            (_, AdminCall::Ready) => self.readiness(),
            (Door::Directory, AdminCall::Resolve { centre }) => {
                self.metrics.resolves.inc();
                self.resolve(now, centre.as_deref())
            }
            (Door::Operators, _) => self.operators_answer(now, request),
            _ => problem_response(404, "there is nothing at this path", None, None),
        }
    }

    fn readiness(&self) -> Response {
        match self.stage {
            Stage::Ready => Response::new(200),
            Stage::Leaving => problem_response(503, "this daemon is stopping", None, None),
            Stage::Starting => problem_response(503, "this daemon is starting", None, None),
        }
    }

    /// The addresses that a caller may use: the ready daemons of its own data centre, or all that
    /// are ready where there is none.
    fn resolve(&self, now: Time, centre: Option<&str>) -> Response {
        let mut ready = self.ready_daemons(now);
        if ready.is_empty() {
            return problem_response(503, "no daemon is known to be ready", None, None);
        }
        if ready.iter().any(|(home, _)| Some(&**home) == centre) {
            ready.retain(|(home, _)| Some(&**home) == centre);
        }
        fastrand::shuffle(&mut ready);
        ready.truncate(MAX_ADDRESSES);
        let port = self.settings.listen.callers.port();
        let addresses: Vec<SocketAddrV4> = ready
            .into_iter()
            .map(|(_, ip)| SocketAddrV4::new(ip, port))
            .collect();
        let keep = DIRECTORY_KEEP.min(self.settings.bounds.max_ttl);
        encode_addresses(&addresses, keep)
    }

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
