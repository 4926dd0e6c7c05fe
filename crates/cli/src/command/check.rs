use {
    crate::{context::Context, error::CliError, files::collect},
    std::path::PathBuf,
};

/// Checks service files.
#[derive(Debug, clap::Args)]
pub(crate) struct Check {
    /// Files, or folders with .ini files.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
}

impl Check {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let files = collect(&self.paths)?;
        let names: Vec<_> = files.keys().collect();
        context.show(&names, || {
            names
                .iter()
                .map(|name| format!("service {name}: valid\n"))
                .collect()
        })
    }
}
