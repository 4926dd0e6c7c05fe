use {
    crate::{context::Context, error::CliError, fleet::ask},
    serde_json::Value,
    std::net::SocketAddr,
};

/// Shows why a request went to its worker.
#[derive(Debug, clap::Args)]
pub(crate) struct Explain {
    /// The address for operators of the daemon that served it.
    address: SocketAddr,

    /// The request's id, from the answer's Anvilferry-Request.
    request: String,
}

impl Explain {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let value = ask(self.address, &format!("/explain?id={}", self.request))?;
        context.show(&value, || {
            let decisions = value["decisions"]
                .as_array()
                .map(Vec::as_slice)
                .unwrap_or_default();
            if decisions.is_empty() {
                return "no decision is kept of this request any more\n".to_owned();
            }
            decisions.iter().map(line).collect()
        })
    }
}

fn line(entry: &Value) -> String {
    let at = entry["at"].as_u64().unwrap_or_default() / 1_000;
    let decision = &entry["decision"];
    let told = if decision["chosen"].is_object() {
        let chosen = &decision["chosen"];
        format!(
            "sent to {}; {} workers were free, {} passed over as busy, slow, failing, cold or closed",
            chosen["worker"].as_str().unwrap_or("?"),
            chosen["free"],
            chosen["passed"]
        )
    } else {
        format!("waited behind {} requests", decision["queued"]["ahead"])
    };
    format!("{at} ms: {told}\n")
}
