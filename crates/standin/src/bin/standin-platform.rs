//! A stand-in for the platform's object API.

use {clap::Parser, standin::StandinError, std::net::SocketAddr};

#[derive(Debug, Parser)]
struct Arguments {
    /// The address to listen at.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

fn main() -> Result<(), StandinError> {
    standin::platform::run(Arguments::parse().listen)
}
