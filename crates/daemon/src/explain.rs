//! The operators' address: metrics, the state dump, and what became of a request.

use {
    crate::daemon::Daemon,
    platform::problem_response,
    unit::Time,
    wire::{Request, Response},
};

impl Daemon {
    pub(crate) fn operators_answer(&self, now: Time, request: &Request) -> Response {
        match (request.method.as_str(), request.path()) {
            ("GET", "/dump") => json_answer(self.dump(now).to_string()),
            ("GET", "/explain") => self.explain(request.query("id").unwrap_or_default()),
            ("GET", "/healthz") => Response::new(200),
            ("GET", "/metrics") => {
                let mut response = Response::new(200);
                response
                    .headers
                    .add("Content-Type", "text/plain; version=0.0.4");
                response.body = self.metrics.text();
                response
            }
            _ => problem_response(
                404,
                "there is /dump, /explain?id=REQUEST, /healthz and /metrics here",
                None,
                None,
            ),
        }
    }

    /// The decisions about a request that are still kept, oldest first.
    fn explain(&self, id: &str) -> Response {
        let lines = self.log.about(id);
        if lines.is_empty() {
            return problem_response(404, "no decision about this request is kept", None, None);
        }
        json_answer(format!("[{}]", lines.join(",\n")))
    }
}

fn json_answer(body: String) -> Response {
    let mut response = Response::new(200);
    response.headers.add("Content-Type", "application/json");
    response.body = body.into_bytes();
    response
}
