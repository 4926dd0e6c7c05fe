use {
    crate::{
        command::vm::Way,
        context::Context,
        error::CliError,
        publisher::{Order, publish},
    },
    conf::Edit,
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
        let edit = Edit::Centre(self.name.as_str().into(), self.way.is_out());
        publish(context, &Order::plain(&self.by, edit, self.wait))
    }
}
