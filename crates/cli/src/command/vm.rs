use {
    crate::{
        context::Context,
        error::CliError,
        publisher::{Order, new_id, publish},
    },
    clap::ValueEnum,
    conf::Edit,
    std::collections::BTreeMap,
};

/// Which way something goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Way {
    /// Back into service.
    In,
    /// Out of service.
    Out,
}

impl Way {
    pub(crate) fn is_out(self) -> bool {
        self == Self::Out
    }
}

/// Takes a VM out, or brings it in.
#[derive(Debug, clap::Args)]
pub(crate) struct Vm {
    /// Out or in.
    way: Way,

    /// The VM.
    name: String,

    /// Who makes the change.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,

    /// Wait until every daemon has it in force.
    #[arg(long)]
    wait: bool,
}

impl Vm {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let order = Order {
            by: self.by.clone(),
            edit: Edit::Vm(self.name.as_str().into(), self.way.is_out()),
            files: BTreeMap::new(),
            id: new_id(),
            seen: None,
            wait: self.wait,
        };
        publish(context, &order)
    }
}
