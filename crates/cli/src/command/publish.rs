use {
    crate::{
        command::{diff::differences, status::wait_in_force},
        context::Context,
        error::CliError,
        files::read_site,
        store_session::{StoreSession, WriteOutcome, base_version},
    },
    platform::StoreCall,
    site::Config,
    std::{path::PathBuf, sync::Arc},
};

/// Publishes the files of a site as the next version.
#[derive(Debug, clap::Args)]
pub(crate) struct Publish {
    /// Files, or folders with .ini files; together, the whole site.
    #[arg(required = true)]
    paths: Vec<PathBuf>,

    /// The version that you have looked at; a later one conflicts.
    #[arg(long, value_name = "VERSION")]
    from: Option<u64>,

    /// Wait until every daemon has it in force.
    #[arg(long)]
    wait: bool,
}

impl Publish {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let store = context.store_session()?;
        let current = store.config()?;
        let current_version = current.as_ref().map(|current| current.value.version);
        if let (Some(from), Some(published)) = (self.from, current_version)
            && from != published
        {
            let message = format!(
                "version {published} is published, not {from}; \
                 look at it first with 'anvilferry diff'"
            );
            return Err(CliError::Conflict(message));
        }
        let version = current_version.unwrap_or_default() + 1;
        let (config, keys) = read_site(&self.paths, version)?;
        let config = Arc::new(config);
        let unchanged = current
            .as_ref()
            .is_some_and(|current| differences(&current.value, &config).is_empty());
        if unchanged {
            let value = serde_json::json!({"version": current_version, "changed": false});
            return context.print(&value, || {
                format!("nothing has changed since version {}\n", version - 1)
            });
        }
        let call = StoreCall::PutConfig(
            Arc::clone(&config),
            current.as_ref().map(base_version),
            Arc::new(keys),
        );
        match store.write(&call)? {
            WriteOutcome::Done => {}
            WriteOutcome::Conflict | WriteOutcome::NotFound => {
                return confirm_published(&store, &config);
            }
            WriteOutcome::NoResponse => confirm_published(&store, &config)?,
        }
        if self.wait {
            wait_in_force(context, &store, version)?;
        }
        let value = serde_json::json!({"version": version, "changed": true});
        context.print(&value, || format!("published version {version}\n"))
    }
}

/// Reads the configuration back to find out whether a write was made that got no response, or an
/// unexpected one.
fn confirm_published(store: &StoreSession, config: &Config) -> Result<(), CliError> {
    let found = store.config()?;
    let Some(found) = found else {
        let message = "the store has no configuration yet; the write may still be made";
        return Err(CliError::UnknownOutcome(message.to_owned()));
    };
    if *found.value == *config {
        return Ok(());
    }
    if found.value.version >= config.version {
        let message = format!(
            "version {} was published meanwhile; look at it with 'anvilferry diff'",
            found.value.version
        );
        return Err(CliError::Conflict(message));
    }
    let message = format!("the store still has version {}", found.value.version);
    Err(CliError::UnknownOutcome(message))
}
