use {once::Outcome, serde_json::json, unit::Span, wire::Response};

/// An answer that says that a request was not served.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// What happened and the way out.
    pub detail: String,
    /// What is known of its execution.
    pub outcome: Outcome,
    /// The HTTP status.
    pub status: u16,
    /// What happened, in a word or two.
    pub title: &'static str,
}

/// The answer for a rejection that coming back later doesn't change.
pub fn reject(rejection: &Rejection) -> Response {
    let body = json!({
        "detail": rejection.detail,
        "outcome": rejection.outcome,
        "status": rejection.status,
        "title": rejection.title,
    });
    let response = Response::new(
        rejection.status,
        "application/problem+json",
        body.to_string(),
    );
    with_outcome(response, rejection.outcome)
}

/// The answer for a rejection after which the caller may come back.
pub fn refuse(rejection: &Rejection, after: Span) -> Response {
    let seconds = after.as_micros().div_ceil(1_000_000).max(1);
    let millis = after.as_micros().div_ceil(1_000).max(1);
    reject(rejection)
        .with("Retry-After", seconds)
        .with("Anvilferry-Retry-After-Ms", millis)
}

/// Marks an answer with what is known of the request's execution.
pub fn with_outcome(response: Response, outcome: Outcome) -> Response {
    response.with("Anvilferry-Outcome", outcome)
}
