use {
    crate::{error::CliError, fleet::ask},
    std::net::SocketAddr,
};

/// Shows a daemon's state.
#[derive(Debug, clap::Args)]
pub(crate) struct Dump {
    /// The daemon's address for operators.
    address: SocketAddr,
}

impl Dump {
    pub(crate) fn run(&self) -> Result<(), CliError> {
        let value = ask(self.address, "/dump")?;
        println!("{}", serde_json::to_string_pretty(&value)?);
        Ok(())
    }
}
