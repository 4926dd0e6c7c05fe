use {
    crate::{context::Context, error::CliError, http::fetch_page},
    std::net::SocketAddrV4,
};

/// Prints the state of a daemon as JSON.
#[derive(Debug, clap::Args)]
pub(crate) struct Dump {
    /// The daemon's address for operators.
    address: SocketAddrV4,
}

impl Dump {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let text = fetch_page(self.address, "/dump", context.timeout)?;
        let value: serde_json::Value = serde_json::from_str(&text)?;
        println!("{}", serde_json::to_string_pretty(&value)?);
        Ok(())
    }
}
