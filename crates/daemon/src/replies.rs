use {
    crate::attempt::Ending,
    front::{Call, Rejection, refuse, reject, with_outcome},
    once::{Begin, Outcome, Ticket},
    pick::Refusal,
    unit::Span,
    wire::{Headers, Request, Response},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// When a caller should come back.
const COME_BACK: Span = Span::secs(1);

/// The answer to a call of a service that nobody published.
pub(crate) fn unknown_service(name: &str) -> Response {
    reject(&Rejection {
        detail: format!("no service is called {name:?}; publish its file first"),
        outcome: Outcome::NotRun,
        status: 404,
        title: "no such service",
    })
}

/// Identifies a request that comes with an idempotency key.
pub(crate) fn fingerprint(request: &Request) -> u64 {
    let parts = [
        request.method.as_bytes(),
        request.target.as_bytes(),
        &request.body,
    ];
    parts
        .iter()
        .fold(0, |sum, part| xxh3_64_with_seed(part, sum))
}

/// The answer to a request that isn't to be run, as the memory of keys has it.
pub(crate) fn settled(begin: Begin<Response>, ticket: &Ticket) -> Option<Response> {
    let (status, outcome, title, detail) = match begin {
        Begin::Run => return None,
        Begin::Known(response) => return Some(response.with("Anvilferry-Replayed", 1)),
        Begin::Expired => (
            409,
            Outcome::Unknown,
            "ticket expired",
            "not run here; it may have run before the ticket's end".to_owned(),
        ),
        Begin::Foreign => (
            409,
            Outcome::Unknown,
            "ticket of another life",
            format!(
                "not run here; the ticket is for {} alone, in one life of it",
                ticket.daemon
            ),
        ),
        Begin::Full => {
            let rejection = Rejection {
                detail: "too many keys are remembered".to_owned(),
                outcome: Outcome::NotRun,
                status: 503,
                title: "too many keys",
            };
            return Some(refuse(&rejection, COME_BACK));
        }
        Begin::Lost => (
            409,
            Outcome::Unknown,
            "fate unknown",
            "it was sent to an upstream once and its answer was lost; it is not sent again"
                .to_owned(),
        ),
        Begin::Mismatch => (
            422,
            Outcome::NotRun,
            "key used before",
            "the key came with a different request before; choose a new one".to_owned(),
        ),
        Begin::NotRun => {
            let rejection = Rejection {
                detail: "it was refused under this ticket; ask /v1/entries for a new one"
                    .to_owned(),
                outcome: Outcome::NotRun,
                status: 503,
                title: "not run",
            };
            return Some(refuse(&rejection, COME_BACK));
        }
        Begin::Running => {
            let rejection = Rejection {
                detail: "it runs at this moment; ask again with the same key and ticket".to_owned(),
                outcome: Outcome::Unknown,
                status: 409,
                title: "in progress",
            };
            return Some(refuse(&rejection, COME_BACK));
        }
    };
    Some(reject(&Rejection {
        detail,
        outcome,
        status,
        title,
    }))
}

/// The request as workers get it.
pub(crate) fn upstream_request(request: Request, call: &Call, label: &str) -> Request {
    let mut headers = Headers::default();
    for (name, value) in request.headers.iter() {
        if !internal(name) {
            headers.add(name, value);
        }
    }
    if let Some(key) = &call.key {
        headers.add("Idempotency-Key", key);
    }
    headers.add("Anvilferry-Depth", call.depth + 1);
    headers.add("Anvilferry-Request", label);
    Request {
        body: request.body,
        headers,
        method: request.method,
        target: call.path.clone(),
    }
}

/// Whether a header is between neighbours only.
fn internal(name: &str) -> bool {
    const OWN: &str = "anvilferry-";
    const HOP: [&str; 5] = ["idempotency-key", "keep-alive", "te", "trailer", "upgrade"];
    let own = name
        .get(..OWN.len())
        .is_some_and(|head| head.eq_ignore_ascii_case(OWN));
    own || HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// The answer and the outcome that an ending stands for.
pub(crate) fn conclude(ending: Ending) -> (Option<Response>, Outcome) {
    match ending {
        Ending::Answer(response) => {
            let mut headers = Headers::default();
            for (name, value) in response.headers.iter().filter(|(name, _)| !internal(name)) {
                headers.add(name, value);
            }
            let own = Response {
                headers,
                last: false,
                ..response
            };
            (Some(with_outcome(own, Outcome::Ran)), Outcome::Ran)
        }
        Ending::Gone => (None, Outcome::Unknown),
        Ending::NotRun(after, why) => {
            let rejection = Rejection {
                detail: reason(why).to_owned(),
                outcome: Outcome::NotRun,
                status: 503,
                title: "not run",
            };
            (Some(refuse(&rejection, after)), Outcome::NotRun)
        }
        Ending::Unknown(detail) => {
            let rejection = Rejection {
                detail: detail.to_owned(),
                outcome: Outcome::Unknown,
                status: 504,
                title: "outcome unknown",
            };
            (Some(reject(&rejection)), Outcome::Unknown)
        }
    }
}

fn reason(why: Refusal) -> &'static str {
    match why {
        Refusal::Budget => "an upstream refused it, and the budget of retries is spent",
        Refusal::Deadline => "its deadline passed before an upstream was free",
        Refusal::Full => "too many requests wait for this service",
        Refusal::Leaving => "upstreams are leaving, and this request can wait",
        Refusal::Nobody => "no upstream of this service is open",
    }
}
