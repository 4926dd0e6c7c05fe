//! The subcommands, one module each.

mod accounts;
mod centre;
mod check;
mod completions;
mod diff;
mod dump;
mod entries;
mod explain;
mod publish;
mod status;
mod where_to;

use crate::{context::Context, error::CliError};

/// The subcommand to run, with its arguments.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Subcommand {
    /// Show the client accounts that a daemon has in force.
    Accounts(accounts::Accounts),
    /// Check a site's files without publishing them.
    Check(check::Check),
    /// Print a shell's completions.
    Completions(completions::Completions),
    /// Take a data centre out, or bring it in.
    Dc(centre::Centre),
    /// Show how a site's files differ from what is in force.
    Diff(diff::Diff),
    /// Show a daemon's state.
    Dump(dump::Dump),
    /// Ask a daemon's directory which addresses callers may use.
    Entries(entries::Entries),
    /// Show what was decided about a request, by a daemon or from its log.
    Explain(explain::Explain),
    /// Publish a site's files.
    Publish(publish::Publish),
    /// Show what is in force at each daemon.
    Status(status::Status),
    /// Show where a request would go now, and why, without sending it.
    Where(where_to::WhereTo),
}

impl Subcommand {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        match self {
            Self::Accounts(command) => command.run(context),
            Self::Check(command) => command.run(context),
            Self::Completions(command) => command.run(),
            Self::Dc(command) => command.run(context),
            Self::Diff(command) => command.run(context),
            Self::Dump(command) => command.run(context),
            Self::Entries(command) => command.run(context),
            Self::Explain(command) => command.run(context),
            Self::Publish(command) => command.run(context),
            Self::Status(command) => command.run(context),
            Self::Where(command) => command.run(context),
        }
    }
}
