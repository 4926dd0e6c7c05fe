use {
    crate::{
        command::{diff::differences, status::wait_in_force},
        context::Context,
        error::CliError,
        files::read_site,
        session::{Session, Written, base},
    },
    platform::StoreCall,
    site::Config,
    std::{path::PathBuf, sync::Arc},
};

/// Publishes a site's files.
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
        let session = context.session()?;
        let known = session.config()?;
        let old = known.as_ref().map(|known| known.value.version);
        if let (Some(from), Some(old)) = (self.from, old)
            && from != old
        {
            let told = format!("version {old} was published after {from}; look at it first");
            return Err(CliError::Conflict(told));
        }
        let version = old.unwrap_or_default() + 1;
        let config = Arc::new(read_site(&self.paths, version)?);
        let same = known
            .as_ref()
            .is_some_and(|known| differences(&known.value, &config).is_empty());
        if same {
            let value = serde_json::json!({"version": old, "changed": false});
            return context.show(&value, || {
                format!("nothing has changed since version {}\n", version - 1)
            });
        }
        let call = StoreCall::PutConfig(Arc::clone(&config), known.as_ref().map(base));
        match session.write(&call)? {
            Written::Done => {}
            Written::Conflict | Written::NotFound => return settle(&session, &config),
            Written::Lost => settle(&session, &config)?,
        }
        if self.wait {
            wait_in_force(context, &session, version)?;
        }
        let value = serde_json::json!({"version": version, "changed": true});
        context.show(&value, || format!("published version {version}\n"))
    }
}

/// Finds out by reading back whether a change whose answer was lost or strange was made.
fn settle(session: &Session, config: &Config) -> Result<(), CliError> {
    let found = session.config()?;
    let Some(found) = found else {
        let told = "the store has no configuration; the write may still be under way";
        return Err(CliError::Unknown(told.to_owned()));
    };
    if *found.value == *config {
        return Ok(());
    }
    if found.value.version >= config.version {
        let told = format!("version {} was published meanwhile", found.value.version);
        return Err(CliError::Conflict(told));
    }
    let told = format!("the store still has version {}", found.value.version);
    Err(CliError::Unknown(told))
}
