use {
    std::{
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
    wire::{Conn, Limits, Request, WireError},
};

/// The header in which a worker's answers carry its life, in hexadecimal.
pub const BOOT: &str = "anvilferry-boot";

const PROBE_BODY: usize = 4 << 10;

/// A connection that was just opened.
#[derive(Debug)]
pub struct Dialed {
    /// The worker's life behind it.
    pub boot: u64,
    /// The connection.
    pub conn: Conn,
}

/// Opens a connection to a worker and asks for its load on it, which shows the worker's life.
///
/// Nothing is asked after `until`, for which the question was counted.
///
/// # Errors
/// Fails where the connection isn't open by `until`, or the worker takes longer than `time` to
/// show its life, or shows none.
pub fn dial(
    address: SocketAddr,
    path: &str,
    until: Instant,
    time: Duration,
) -> Result<Dialed, WireError> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(WireError::Timeout);
    }
    let mut conn = connect(address, left)?;
    if Instant::now() >= until {
        return Err(WireError::Timeout);
    }
    let end = Instant::now() + time;
    let mut request = Request::new("GET", path);
    request.headers.add("Host", address);
    request.headers.add("Anvilferry-Probe", 1);
    conn.write_request(&request)?;
    let response = conn.read_response(PROBE_BODY, false, end)?;
    let boot = response.headers.get(BOOT).unwrap_or_default();
    let boot = u64::from_str_radix(boot, 16).map_err(|_| WireError::Framing)?;
    if response.last {
        return Err(WireError::Closed);
    }
    Ok(Dialed { boot, conn })
}

/// Opens a connection to a worker without asking it anything.
///
/// # Errors
/// Fails where the worker refuses or takes longer than `time`.
pub(crate) fn connect(address: SocketAddr, time: Duration) -> Result<Conn, WireError> {
    let sock = TcpStream::connect_timeout(&address, time)?;
    Conn::new(sock, Limits::default())
}
