mod centre;
mod check;
mod completions;
mod diff;
mod dump;
mod entries;
mod explain;
mod history;
mod publish;
mod status;
mod vm;

use crate::{context::Context, error::CliError};

/// What the tool can do.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Subcommand {
    /// Check service files without publishing them.
    Check(check::Check),
    /// Print a shell's completions.
    Completions(completions::Completions),
    /// Take a data centre out, or bring it in.
    Dc(centre::Centre),
    /// Show how service files differ from those in force.
    Diff(diff::Diff),
    /// Show a daemon's state.
    Dump(dump::Dump),
    /// Ask a daemon which addresses serve a service.
    Entries(entries::Entries),
    /// Show why a request went to its worker.
    Explain(explain::Explain),
    /// Show the newest changes.
    History(history::History),
    /// Publish service files.
    Publish(publish::Publish),
    /// Show what is in force at each daemon.
    Status(status::Status),
    /// Take a VM out, or bring it in.
    Vm(vm::Vm),
}

impl Subcommand {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        match self {
            Self::Check(command) => command.run(context),
            Self::Completions(command) => command.run(),
            Self::Dc(command) => command.run(context),
            Self::Diff(command) => command.run(context),
            Self::Dump(command) => command.run(),
            Self::Entries(command) => command.run(context),
            Self::Explain(command) => command.run(context),
            Self::History(command) => command.run(context),
            Self::Publish(command) => command.run(context),
            Self::Status(command) => command.run(context),
            Self::Vm(command) => command.run(context),
        }
    }
}
