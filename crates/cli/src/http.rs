//! HTTP exchanges, each on a connection of its own.

use {
    crate::error::CliError,
    std::{
        net::{SocketAddr, SocketAddrV4, TcpStream},
        time::{Duration, Instant},
    },
    wire::{Limits, Request, Response, exchange},
};

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the largest response body that is accepted.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Sends a request and waits for the response, for `timeout` at most.
pub(crate) fn send_request(
    address: SocketAddrV4,
    request: &Request,
    timeout: Duration,
) -> Result<Response, CliError> {
    let limits = Limits {
        body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    };
    let deadline = Instant::now() + timeout;
    TcpStream::connect_timeout(&SocketAddr::V4(address), CONNECT_TIMEOUT.min(timeout))
        .and_then(|mut conn| exchange(&mut conn, request, limits, deadline))
        .map_err(|error| CliError::Unreachable {
            address: address.to_string(),
            error,
        })
}

/// Gets the page at `path` from a daemon's address for operators. A status other than 200 is an
/// error.
pub(crate) fn fetch_page(
    address: SocketAddrV4,
    path: &str,
    timeout: Duration,
) -> Result<String, CliError> {
    let (status, body) = fetch_status(address, path, timeout)?;
    if status == 200 {
        Ok(body)
    } else {
        Err(CliError::Failed(format!(
            "{address} answered {status}: {body}"
        )))
    }
}

/// Gets the page at `path` from a daemon's address for operators: the status and the body.
pub(crate) fn fetch_status(
    address: SocketAddrV4,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), CliError> {
    let mut request = Request::new("GET", path);
    request.headers.add("Host", address);
    let response = send_request(address, &request, timeout)?;
    let body = String::from_utf8_lossy(&response.body).into_owned();
    Ok((response.status, body))
}
