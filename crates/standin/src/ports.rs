//! Ports for daemons under test.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    time::Duration,
};

/// Ports that a fleet needs in a row, the same on each of its addresses.
const PORTS: u16 = 5;
/// How long an address of this machine may take to refuse a connection.
const REFUSAL: Duration = Duration::from_millis(500);

/// The first of some ports in a row that are free on an address.
///
/// Nothing is bound to find out: a process that another thread starts meanwhile would hold a copy of
/// the socket until its program begins, and the port would be in use that long.
///
/// # Errors
/// Fails where none are found.
pub fn find_free_ports(ip: Ipv4Addr) -> io::Result<u16> {
    const TRIES: u32 = 100;
    for _ in 0..TRIES {
        let base = fastrand::u16(20_000..30_000);
        if (base..base + PORTS).all(|port| refuses(ip, port)) {
            return Ok(base);
        }
    }
    Err(io::Error::other("no ports are free"))
}

fn refuses(ip: Ipv4Addr, port: u16) -> bool {
    let address = SocketAddr::from((ip, port));
    TcpStream::connect_timeout(&address, REFUSAL)
        .is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
