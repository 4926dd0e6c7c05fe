use {
    crate::{context::Context, error::CliError, files::read_site},
    std::path::PathBuf,
};

/// Checks the files of a site, without the store.
#[derive(Debug, clap::Args)]
pub(crate) struct Check {
    /// Files, or folders with .ini files.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
}

impl Check {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let (config, _) = read_site(&self.paths, 0)?;
        let routes: usize = config.hosts.values().map(Vec::len).sum();
        let services = config.services.len();
        let accounts = config.accounts.len();
        let value =
            serde_json::json!({"accounts": accounts, "services": services, "routes": routes});
        context.print(&value, || {
            let accounts = match accounts {
                0 => String::new(),
                count => format!(", {count} accounts"),
            };
            format!("valid: {services} services, {routes} routes{accounts}\n")
        })
    }
}
