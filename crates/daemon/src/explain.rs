//! The pages at the operators' address: metrics, the state dump, and the log lines about a request.

use {
    crate::daemon::Daemon,
    platform::problem_response,
    unit::Time,
    wire::{Request, Response},
};

impl Daemon {
    /// The response to a request at the operators' address.
    pub(crate) fn operators_response(&self, now: Time, request: &Request) -> Response {
        match (request.method.as_str(), request.path()) {
            ("GET", "/dump") => json_response(self.dump(now).to_string()),
            ("GET", "/explain") => self.explain(&request.query("id").unwrap_or_default()),
            ("GET", "/where") => self.where_response(now, request),
            ("GET", "/healthz") => Response::new(200),
            ("GET", "/metrics") => {
                let mut response = Response::new(200);
                response
                    .headers
                    .add("Content-Type", "text/plain; version=0.0.4");
                response.body = self.metrics.encode();
                response
            }
            _ => problem_response(
                404,
                "there is /dump, /explain?id=REQUEST, /healthz, /metrics and /where?host=HOST&path=PATH here",
                None,
                None,
            ),
        }
    }

    /// The log lines about a request that are still kept in memory, as a JSON array, oldest first.
    fn explain(&self, id: &str) -> Response {
        let lines = self.log.request_lines(id);
        if lines.is_empty() {
            return problem_response(404, "no decision about this request is kept", None, None);
        }
        json_response(format!("[{}]", lines.join(",\n")))
    }
}

pub(crate) fn json_response(body: String) -> Response {
    let mut response = Response::new(200);
    response.headers.add("Content-Type", "application/json");
    response.body = body.into_bytes();
    response
}
