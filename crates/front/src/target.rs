use {
    crate::{Call, Rejection, reject},
    once::Outcome,
    unit::Name,
    wire::{Request, Response},
};

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A call to a service.
    Call(Box<Call>),
    /// The daemons that serve a service.
    Entries(Name),
}

impl Target {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// The answer to a request that isn't valid.
    pub fn read(request: &Request) -> Result<Self, Box<Response>> {
        if request.path() == "/v1/entries" {
            let service = request.query("service").filter(|name| !name.is_empty());
            return match service {
                Some(service) if request.method == "GET" => Ok(Self::Entries(service.into())),
                Some(_) => Err(fault(405, "method not allowed", "ask with GET")),
                None => Err(fault(400, "no service", "add ?service=NAME")),
            };
        }
        let rest = request.target.strip_prefix("/s/").unwrap_or_default();
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (service, path) = rest.split_at(end);
        if service.is_empty() {
            return Err(fault(
                404,
                "not found",
                "call /s/SERVICE/PATH or /v1/entries",
            ));
        }
        let path = if path.starts_with('/') {
            path.to_owned()
        } else {
            format!("/{path}")
        };
        Ok(Self::Call(Box::new(Call::read(service, &path, request)?)))
    }
}

fn fault(status: u16, title: &'static str, detail: &str) -> Box<Response> {
    Box::new(reject(&Rejection {
        detail: detail.to_owned(),
        outcome: Outcome::NotRun,
        status,
        title,
    }))
}
