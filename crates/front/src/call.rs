use {
    crate::{Rejection, reject},
    once::{Outcome, Ticket},
    unit::{Name, Span},
    wire::{Request, Response},
};

/// The longest key, in bytes.
const KEY: usize = 128;

/// A call to a service, as its headers have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The time that the caller gives it.
    pub deadline: Option<Span>,
    /// Calls above it in its chain.
    pub depth: u32,
    /// Whether it, or a call above it, is a retry or a hedge.
    pub extra: bool,
    /// The idempotency key.
    pub key: Option<String>,
    /// The path at the upstream, with the query.
    pub path: String,
    /// The service.
    pub service: Name,
    /// The ticket that came with the answer about entries.
    pub ticket: Option<Ticket>,
}

impl Call {
    /// Reads a call to `service` out of a request.
    ///
    /// # Errors
    /// The answer to a header that isn't valid.
    pub(crate) fn read(
        service: &str,
        path: &str,
        request: &Request,
    ) -> Result<Self, Box<Response>> {
        let bad = |name: &str, allowed: &str| {
            Box::new(reject(&Rejection {
                detail: format!("header {name} is not valid; {allowed}"),
                outcome: Outcome::NotRun,
                status: 400,
                title: "bad header",
            }))
        };
        let header = |name: &str| request.headers.get(name).map(str::trim);
        let deadline = match header("anvilferry-deadline-ms").map(str::parse) {
            None => None,
            Some(Ok(millis @ 1..=600_000)) => Some(Span::millis(millis)),
            Some(_) => return Err(bad("Anvilferry-Deadline-Ms", "give 1 to 600000")),
        };
        let depth = match header("anvilferry-depth").map(str::parse) {
            None => 0,
            Some(Ok(depth)) => depth,
            Some(Err(_)) => return Err(bad("Anvilferry-Depth", "pass it on as it came")),
        };
        let key = header("idempotency-key");
        let plain = |key: &&str| {
            !key.is_empty() && key.len() <= KEY && key.bytes().all(|byte| byte.is_ascii_graphic())
        };
        if key.is_some_and(|key| !plain(&key)) {
            return Err(bad(
                "Idempotency-Key",
                "give 1 to 128 visible ASCII characters",
            ));
        }
        let ticket = match header("anvilferry-ticket").map(str::parse) {
            None => None,
            Some(Ok(ticket)) => Some(ticket),
            Some(Err(())) => {
                return Err(bad(
                    "Anvilferry-Ticket",
                    "give the ticket of /v1/entries unchanged",
                ));
            }
        };
        Ok(Self {
            deadline,
            depth,
            extra: header("anvilferry-extra") == Some("1"),
            key: key.map(str::to_owned),
            path: path.to_owned(),
            service: service.into(),
            ticket,
        })
    }
}
