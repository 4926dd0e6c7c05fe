use {
    crate::{
        command::vm::Way,
        context::Context,
        error::CliError,
        publisher::{Order, new_id, publish},
    },
    conf::Edit,
    std::collections::BTreeMap,
};

/// Takes a data centre out, or brings it in.
#[derive(Debug, clap::Args)]
pub(crate) struct Centre {
    /// Out or in.
    way: Way,

    /// The data centre.
    name: String,

    /// Who makes the change.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,

    /// Wait until every daemon has it in force.
    #[arg(long)]
    wait: bool,
}

impl Centre {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let order = Order {
            by: self.by.clone(),
            edit: Edit::Centre(self.name.as_str().into(), self.way.is_out()),
            files: BTreeMap::new(),
            id: new_id(),
            seen: None,
            wait: self.wait,
        };
        publish(context, &order)
    }
}
