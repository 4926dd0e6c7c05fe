use {
    crate::{context::Context, error::CliError, http::send_request},
    platform::{decode_addresses, resolve_request},
    std::net::SocketAddrV4,
};

/// Asks a daemon's directory for the entry addresses of a host.
#[derive(Debug, clap::Args)]
pub(crate) struct Entries {
    /// The daemon's address for the directory.
    address: SocketAddrV4,

    /// The host that callers name.
    host: String,

    /// The caller's data centre.
    #[arg(long, default_value = "")]
    dc: String,

    /// The caller's region.
    #[arg(long, default_value = "")]
    region: String,
}

impl Entries {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let request = resolve_request(&self.host, &self.region, &self.dc);
        let response = send_request(self.address, &request, context.timeout)?;
        let (addresses, ttl) = decode_addresses(&response)?;
        let value = serde_json::json!({"addresses": addresses, "keep_ms": ttl.as_millis()});
        context.print(&value, || {
            addresses
                .iter()
                .map(|address| format!("{address}\n"))
                .collect()
        })
    }
}
