//! The daemon's command line.

use {clap::Parser, pick::TransferPrice, std::path::PathBuf};

/// Serves callers' requests on this VM.
#[derive(Debug, Parser)]
#[command(name = "anvilferryd", version)]
pub(crate) struct Arguments {
    /// Port of this VM's address on which metrics are served beside the operators' address.
    #[arg(long, value_name = "PORT")]
    pub(crate) metrics_port: Option<u16>,

    /// Settings file, in place of the one that the environment names.
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: Option<PathBuf>,

    /// Price of a gigabyte between data centres, in responses that arrive in time. Without it,
    /// requests leave their data centre whenever its workers have no room.
    #[arg(long, value_name = "RESPONSES")]
    pub(crate) transfer_price: Option<TransferPrice>,
}
