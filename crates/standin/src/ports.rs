//! Free ports for daemons under test.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    time::Duration,
};

/// The number of consecutive ports that a daemon listens on; all daemons of a fleet use the same
/// ports, each on its own address.
const PORT_COUNT: u16 = 5;
/// Timeout for a local address to refuse a connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Finds consecutive ports that are free on all these addresses and returns the first of them.
///
/// A port counts as free if it refuses a connection. Binding it to find out would be unreliable: a
/// process that another thread spawns meanwhile inherits a copy of the socket and holds it until it
/// executes its program, which keeps the port in use.
///
/// # Errors
/// Fails if 100 random ranges all contain a port in use.
pub fn find_free_ports(ips: &[Ipv4Addr]) -> io::Result<u16> {
    const MAX_TRIES: u32 = 100;
    for _ in 0..MAX_TRIES {
        let base = fastrand::u16(20_000..30_000);
        let free = |ip: &Ipv4Addr| (base..base + PORT_COUNT).all(|port| refuses(*ip, port));
        if ips.iter().all(free) {
            return Ok(base);
        }
    }
    Err(io::Error::other(
        "found no range of free ports; stop other fleets on this machine",
    ))
}

/// Returns whether a connection to a port is refused.
fn refuses(ip: Ipv4Addr, port: u16) -> bool {
    let address = SocketAddr::from((ip, port));
    TcpStream::connect_timeout(&address, REFUSAL_TIMEOUT)
        .is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
