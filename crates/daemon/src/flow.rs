use {
    crate::{
        attempt::{Attempt, deadline},
        daemon::Daemon,
        hall::Hall,
        replies::{conclude, fingerprint, settled, unknown_service, upstream_request},
    },
    conf::{Class, Kind, Priority, Role, Service, Standing as VmStanding},
    front::{Call, Rejection, Target, refuse, reject},
    limit::Lane,
    once::{Outcome, Ticket},
    peer::Standing,
    pick::Job,
    serde_json::json,
    std::{
        net::{IpAddr, Ipv4Addr, TcpStream},
        sync::{Arc, atomic::Ordering},
    },
    unit::{Name, Span, Time},
    wire::{Handler, Request, Response},
};

/// When a caller should come back to a daemon that doesn't serve.
const COME_BACK: Span = Span::secs(1);

/// The callers' side of the daemon.
pub(crate) struct Callers(pub(crate) Arc<Daemon>);

impl Handler for Callers {
    fn handle(&self, request: Request, sock: &TcpStream) -> Option<Response> {
        let daemon = &*self.0;
        daemon.flying.fetch_add(1, Ordering::Relaxed);
        let response = match Target::read(&request) {
            Ok(Target::Call(call)) => daemon.call(*call, request, sock),
            Ok(Target::Entries(service)) => Some(daemon.entries_answer(&service)),
            Err(response) => Some(*response),
        };
        daemon.flying.fetch_sub(1, Ordering::Relaxed);
        response
    }
}

impl Daemon {
    fn entries_answer(&self, name: &Name) -> Response {
        if let Some(response) = self.not_serving() {
            return response;
        }
        let live = self.live.load();
        let Some((service, _)) = live.services.get(name) else {
            return unknown_service(name);
        };
        let mut chosen = self.entries_of(&live, name, service.entries);
        if !chosen.is_empty() {
            let turn = fastrand::usize(0..chosen.len());
            chosen.rotate_left(turn);
        }
        let entries: Vec<_> = chosen
            .iter()
            .filter_map(|own| live.vms.get(&own.name))
            .map(|vm| json!({"address": vm.address, "data_centre": vm.centre}))
            .collect();
        let ticket = chosen.first().and_then(|first| self.ticket(&first.name));
        let body = json!({
            "entries": entries,
            "generation": live.bundle.generation,
            "max_age_ms": self.settings.age.as_millis(),
            "ticket": ticket.map(|ticket| ticket.to_string()),
        });
        Response::json(200, body)
    }

    fn ticket(&self, daemon: &Name) -> Option<Ticket> {
        let life = self.view.lock().life(daemon)?;
        Some(Ticket {
            daemon: daemon.clone(),
            expiry: self.clock.unix_millis(self.now() + self.settings.ticket),
            life,
        })
    }

    /// The refusal of a daemon that can't be trusted to have what is in force.
    fn not_serving(&self) -> Option<Response> {
        let joining = self.standing() == Standing::Joining;
        if !joining && !self.isolated.load(Ordering::Relaxed) {
            return None;
        }
        let detail = if joining {
            "this daemon has not got the newest site yet; ask another one"
        } else {
            "this daemon can reach neither the platform nor most of its peers; ask another one"
        };
        let live = self.live.load();
        let others = live.list.vms.iter().filter(|vm| {
            matches!(vm.role, Role::Entry { .. })
                && vm.standing == VmStanding::Live
                && vm.name != self.settings.name
        });
        let others: Vec<String> = others.map(|vm| vm.address.to_string()).collect();
        let rejection = Rejection {
            detail: detail.to_owned(),
            outcome: Outcome::NotRun,
            status: 503,
            title: "not serving",
        };
        let response = refuse(&rejection, COME_BACK);
        Some(response.with("Anvilferry-Elsewhere", others.join(" ")))
    }

    fn call(&self, call: Call, request: Request, sock: &TcpStream) -> Option<Response> {
        if let Some(response) = self.not_serving() {
            return Some(response);
        }
        let live = self.live.load_full();
        let Some((service, hall)) = live.services.get(&call.service) else {
            return Some(unknown_service(&call.service));
        };
        let path = call.path.split('?').next().unwrap_or_default();
        let Some(class) = service.class(&request.method, path) else {
            return Some(reject(&Rejection {
                detail: format!("no class of service {} covers this request", call.service),
                outcome: Outcome::NotRun,
                status: 404,
                title: "no class",
            }));
        };
        let from = sock
            .peer_addr()
            .map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
        let Some(_admitted) = hall.callers.admit(from, service.caller) else {
            return Some(refuse(
                &Rejection {
                    detail: format!("{from} has {} requests in progress", service.caller),
                    outcome: Outcome::NotRun,
                    status: 429,
                    title: "too many requests",
                },
                COME_BACK,
            ));
        };
        let place = Place {
            class,
            hall,
            service,
        };
        match class.kind {
            Kind::AtMostOnce => self.call_once(&place, &call, request, sock),
            Kind::Idempotent => self.call_any(&place, &call, request, sock).0,
        }
    }

    fn call_once(
        &self,
        place: &Place<'_>,
        call: &Call,
        request: Request,
        sock: &TcpStream,
    ) -> Option<Response> {
        let (Some(key), Some(ticket)) = (&call.key, &call.ticket) else {
            return Some(reject(&Rejection {
                detail: "this class runs at most once; send Idempotency-Key and the \
                    Anvilferry-Ticket that came with /v1/entries"
                    .to_owned(),
                outcome: Outcome::NotRun,
                status: 428,
                title: "key and ticket needed",
            }));
        };
        let key = format!("{} {key}", call.service);
        let now = self.clock.unix_millis(self.now());
        let begin = self
            .ledger
            .lock()
            .begin(now, &key, ticket, fingerprint(&request));
        if let Some(response) = settled(begin, ticket) {
            return Some(response);
        }
        let (response, outcome) = self.call_any(place, call, request, sock);
        let known = response.clone().unwrap_or_default();
        self.ledger.lock().end(&key, outcome, known);
        response
    }

    fn call_any(
        &self,
        place: &Place<'_>,
        call: &Call,
        request: Request,
        sock: &TcpStream,
    ) -> (Option<Response>, Outcome) {
        let now = self.now();
        let id = self.next_id();
        let label = format!("{:x}-{id:x}", self.life);
        let idempotent = place.class.kind == Kind::Idempotent;
        let mut attempt = Attempt {
            class: place.class,
            daemon: self,
            flights: Vec::new(),
            hall: place.hall,
            hedged: false,
            job: Job {
                deadline: deadline(now, place.class, call.deadline),
                depth: call.depth,
                extra: call.extra,
                id,
                lane: match place.class.priority {
                    Priority::Deferrable => Lane::Deferrable,
                    Priority::Interactive => Lane::Interactive,
                },
                once: !idempotent,
            },
            request: upstream_request(request, call, &label),
            service: place.service,
            sock,
            started: false,
            turns: place.hall.enter(id),
            upstream: Span::ZERO,
            watch: idempotent,
        };
        let ending = attempt.run();
        let upstream = attempt.upstream;
        drop(attempt);
        self.metrics
            .spent
            .observe((self.now() - now).less(upstream).as_secs());
        let (response, outcome) = conclude(ending);
        self.count(place, outcome);
        (
            response.map(|response| response.with("Anvilferry-Request", label)),
            outcome,
        )
    }

    fn count(&self, place: &Place<'_>, outcome: Outcome) {
        let labels = [
            &*place.service.name,
            &*place.class.name,
            &outcome.to_string(),
        ];
        self.metrics.answers.with_label_values(&labels).inc();
    }
}

/// Where a call goes.
struct Place<'a> {
    class: &'a Class,
    hall: &'a Arc<Hall>,
    service: &'a Service,
}

/// The time of this daemon's clock in milliseconds, for the dump.
pub(crate) fn millis(time: Time) -> u64 {
    time.since(Time::ZERO).as_millis()
}
