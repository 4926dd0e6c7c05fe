use {
    crate::{context::Context, error::CliError, http::fetch_page},
    serde_json::Value,
    std::{fs, net::SocketAddrV4, path::PathBuf},
    wire::Target,
};

/// Shows the log lines about a request, from a daemon or from log files.
#[derive(Debug, clap::Args)]
pub(crate) struct Explain {
    /// The request's id.
    request: String,

    /// A daemon's address for operators.
    #[arg(long, required_unless_present = "log")]
    daemon: Option<SocketAddrV4>,

    /// Log files of daemons, in place of a daemon.
    #[arg(long, value_name = "FILE")]
    log: Vec<PathBuf>,
}

impl Explain {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let mut lines = self.read_logs()?;
        if let Some(address) = self.daemon {
            let page = Target::new("/explain").param("id", &self.request);
            let text = fetch_page(address, page.as_str(), context.timeout)?;
            lines.extend(serde_json::from_str::<Vec<Value>>(&text)?);
        }
        if lines.is_empty() {
            let message = format!(
                "no log lines about request {}; give its daemon's log with --log",
                self.request
            );
            return Err(CliError::Failed(message));
        }
        lines.sort_by_key(|line| line["unix_ms"].as_u64());
        context.print(&lines, || lines.iter().map(format_line).collect())
    }

    /// The lines about the request in the log files.
    fn read_logs(&self) -> Result<Vec<Value>, CliError> {
        let mut lines = Vec::new();
        for file in &self.log {
            let text = fs::read_to_string(file).map_err(|error| CliError::UnreadableFile {
                error,
                file: file.display().to_string(),
            })?;
            // Other programs may write to the same file; lines that are not JSON are skipped.
            let parsed = text
                .lines()
                .filter_map(|line| serde_json::from_str(line).ok());
            lines.extend(parsed.filter(|line: &Value| line["request"] == *self.request));
        }
        Ok(lines)
    }
}

/// A log line as `DAEMON +12 ms sent worker=w-1 …`.
fn format_line(line: &Value) -> String {
    /// Fields that are printed before the others, or not at all.
    const SKIPPED_FIELDS: [&str; 7] = [
        "at_ms",
        "unix_ms",
        "no",
        "event",
        "request",
        "elapsed_ms",
        "daemon",
    ];
    let elapsed = line["elapsed_ms"].as_u64().unwrap_or_default();
    let event = line["event"].as_str().unwrap_or_default();
    let daemon = line["daemon"].as_str().unwrap_or_default();
    let fields = line.as_object().into_iter().flatten();
    let fields: String = fields
        .filter(|(name, value)| !SKIPPED_FIELDS.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!(" {name}={}", value.to_string().trim_matches('"')))
        .collect();
    format!("{daemon} +{elapsed} ms {event}{fields}\n")
}
