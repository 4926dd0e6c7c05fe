//! The global arguments. The help and the completions print the doc comments of arguments and
//! subcommands, so these are output of the tool.

use {crate::command::Subcommand, clap::Parser, std::net::SocketAddrV4};

/// Checks, publishes and shows a site of anvilferry.
///
/// Exit status: 0 done, 1 refused or unhealthy, 2 wrong usage, 3 conflict, 4 outcome unknown.
#[derive(Debug, Parser)]
#[command(name = "anvilferry", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Subcommand,

    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,

    /// The address of the platform's store.
    #[arg(long, env = "ANVILFERRY_STORE", global = true)]
    pub(crate) store: Option<SocketAddrV4>,

    /// How long to try, in seconds.
    #[arg(long, global = true, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub(crate) timeout: u64,
}
