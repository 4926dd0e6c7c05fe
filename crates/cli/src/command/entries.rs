use {
    crate::{context::Context, error::CliError, fleet},
    serde_json::Value,
    std::net::SocketAddr,
};

/// Asks a daemon which addresses serve a service.
#[derive(Debug, clap::Args)]
pub(crate) struct Entries {
    /// The service.
    service: String,

    /// A daemon's address for callers; without it, the first that the platform lists.
    #[arg(long)]
    daemon: Option<SocketAddr>,
}

impl Entries {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let address = match self.daemon {
            Some(address) => address,
            None => first(context)?,
        };
        let value = fleet::ask(address, &format!("/v1/entries?service={}", self.service))?;
        context.show(&value, || {
            let entries = value["entries"]
                .as_array()
                .map(Vec::as_slice)
                .unwrap_or_default();
            entries.iter().map(line).collect()
        })
    }
}

fn first(context: &Context) -> Result<SocketAddr, CliError> {
    let listed = fleet::listed(&context.client()?)?;
    listed
        .first()
        .map(|vm| vm.address)
        .ok_or_else(|| CliError::Refused("the platform lists no daemon; give --daemon".to_owned()))
}

fn line(entry: &Value) -> String {
    let text = |key: &str| entry[key].as_str().unwrap_or("?").to_owned();
    format!("{} {}\n", text("address"), text("data_centre"))
}
