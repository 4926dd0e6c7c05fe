use {
    crate::{
        context::Context,
        error::CliError,
        publisher::{Order, publish},
    },
    clap::ValueEnum,
    conf::Edit,
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
        let edit = Edit::Vm(self.name.as_str().into(), self.way.is_out());
        publish(context, &Order::plain(&self.by, edit, self.wait))
    }
}
