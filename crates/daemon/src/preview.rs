//! The `/where` page for operators: where a request would go now, and why.

use {
    crate::{daemon::Daemon, explain::json_response, requests::load_json},
    call::{Preview, PreviewWorker},
    serde_json::{Value, json},
    site::Route,
    std::sync::Arc,
    unit::Time,
    wire::{Request, Response},
};

impl Daemon {
    /// Where a request with the host and the path in the query would go now. Nothing is sent and no
    /// state changes. Status 404 if no route has this host.
    pub(crate) fn where_response(&self, now: Time, request: &Request) -> Response {
        let host = request.query("host").unwrap_or_default();
        let path = request.query("path").unwrap_or("/".into());
        match self.route(now, &host, &path) {
            Ok(route) => {
                let body = self.preview_json(now, &route).to_string();
                json_response(body)
            }
            Err(rejection) => rejection.to_response(),
        }
    }

    fn preview_json(&self, now: Time, route: &Arc<Route>) -> Value {
        let previews = self.dispatcher.preview(now, route);
        let services: Vec<Value> = previews
            .iter()
            .map(|preview| self.service_json(preview))
            .collect();
        json!({
            "daemon": self.settings.name,
            "centre": self.settings.centre,
            "config": self.config.as_ref().map(|config| config.version),
            "age_ms": self.roster.staleness(now, &self.own_state()).as_millis(),
            "route": route.name,
            "kind": route.kind.name(),
            "priority": route.priority,
            "objective_ms": route.objective.as_millis(),
            "timeout_ms": route.timeout.as_millis(),
            "services": services,
        })
    }

    fn service_json(&self, preview: &Preview) -> Value {
        let workers = preview.workers.iter();
        let workers: Vec<Value> = workers
            .map(|worker| self.preview_worker_json(worker))
            .collect();
        json!({
            "service": preview.service,
            "attempts": preview.attempts,
            "backoff_ms": preview.backoff.as_millis(),
            "patience_ms": preview.patience.as_millis(),
            "workers": workers,
        })
    }

    fn preview_worker_json(&self, preview: &PreviewWorker) -> Value {
        let record = self.dispatcher.table.get(preview.worker);
        json!({
            "worker": record.map(|record| record.worker.id.clone()),
            "centre": record.map(|record| record.worker.centre.clone()),
            "version": record.map(|record| record.worker.version.clone()),
            "local": preview.local,
            "verdict": preview.verdict.to_string(),
            "expected_ms": preview.expected.as_millis(),
            "load": preview.load.map(|(load, _)| load_json(load)),
            "load_age_ms": preview.load.map(|(_, age)| age.as_millis()),
        })
    }
}
