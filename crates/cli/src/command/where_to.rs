use {
    crate::{context::Context, error::CliError, http::fetch_status},
    serde_json::Value,
    std::net::SocketAddrV4,
    wire::Target,
};

/// The status with which a daemon answers where no route has the host and path.
const NOT_FOUND: u16 = 404;

/// Shows where a request would go now, and why, without sending it.
#[derive(Debug, clap::Args)]
pub(crate) struct WhereTo {
    /// The host that the request is for.
    host: String,

    /// The path of the request, without a query.
    path: String,

    /// A daemon's address for operators.
    #[arg(long)]
    daemon: SocketAddrV4,
}

impl WhereTo {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let page = Target::new("/where")
            .param("host", &self.host)
            .param("path", &self.path);
        let (status, body) = fetch_status(self.daemon, page.as_str(), context.timeout)?;
        match status {
            200 => {
                let value: Value = serde_json::from_str(&body)?;
                context.print(&value, || format_text(&value))
            }
            NOT_FOUND => Err(CliError::NoRoute {
                host: self.host.clone(),
                path: self.path.clone(),
            }),
            _ => {
                let message = format!("the request would be answered {status}: {body}");
                Err(CliError::Failed(message))
            }
        }
    }
}

fn format_text(value: &Value) -> String {
    let mut text = format!(
        "route {} ({}, priority {}, objective {} ms) at {} in {}, configuration {}\n",
        plain(&value["route"]),
        plain(&value["kind"]),
        value["priority"],
        value["objective_ms"],
        plain(&value["daemon"]),
        plain(&value["centre"]),
        value["config"],
    );
    for service in value["services"].as_array().into_iter().flatten() {
        text += &format_service(service);
    }
    text
}

fn format_service(service: &Value) -> String {
    let mut text = format!("service {}\n", plain(&service["service"]));
    let workers = service["workers"].as_array().into_iter().flatten();
    for worker in workers {
        text += &format!(
            "  {} {} in {}{}, expected {} ms, load {} ({} ms old)\n",
            plain(&worker["verdict"]),
            plain(&worker["worker"]),
            plain(&worker["centre"]),
            if worker["local"] == true {
                ""
            } else {
                " (other data centre)"
            },
            worker["expected_ms"],
            plain(&worker["load"]),
            worker["load_age_ms"],
        );
    }
    text += &format!(
        "  if none has room: again after {} ms on average, until {} ms after its arrival; at most {} workers get it\n",
        service["backoff_ms"], service["patience_ms"], service["attempts"],
    );
    text
}

/// A value without the quotes of a text.
fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
