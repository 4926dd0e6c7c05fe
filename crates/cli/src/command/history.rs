use {
    crate::{context::Context, error::CliError},
    plat::Site,
};

/// Shows the newest changes.
#[derive(Debug, clap::Args)]
pub(crate) struct History {
    /// How many, at most.
    #[arg(default_value_t = 20)]
    most: usize,
}

impl History {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let client = context.client()?;
        let (_, root) = Site(&client).root()?;
        let newest: Vec<_> = root.history.iter().rev().take(self.most).collect();
        context.show(&newest, || {
            let line = |change: &&conf::Change| {
                let touched = change.touched.join(", ");
                format!(
                    "{} {} by {}: {touched}\n",
                    change.generation, change.id, change.by
                )
            };
            newest.iter().map(line).collect()
        })
    }
}
