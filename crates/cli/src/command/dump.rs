use {
    crate::{context::Context, error::CliError, http::page},
    std::net::SocketAddrV4,
};

/// Shows a daemon's state.
#[derive(Debug, clap::Args)]
pub(crate) struct Dump {
    /// The daemon's address for operators.
    address: SocketAddrV4,
}

impl Dump {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let text = page(self.address, "/dump", context.timeout)?;
        let value: serde_json::Value = serde_json::from_str(&text)?;
        println!("{}", serde_json::to_string_pretty(&value)?);
        Ok(())
    }
}
