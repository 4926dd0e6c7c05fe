use {clap::Parser, std::path::PathBuf};

/// Serves callers on one entry VM of an anvilferry fleet.
#[derive(Debug, Parser)]
#[command(name = "anvilferryd", version)]
pub(crate) struct Arguments {
    /// Check the settings and exit.
    #[arg(long)]
    pub(crate) check: bool,

    /// The settings file.
    pub(crate) settings: PathBuf,
}
