//! One exchange on a connection of its own.

use {
    crate::error::CliError,
    std::{
        net::{SocketAddr, SocketAddrV4, TcpStream},
        time::{Duration, Instant},
    },
    wire::{Limits, Request, Response, exchange},
};

const CONNECT: Duration = Duration::from_secs(1);
const MAX_BODY: usize = 64 << 20;

/// Sends a request and waits for the answer.
pub(crate) fn ask(
    address: SocketAddrV4,
    request: &Request,
    span: Duration,
) -> Result<Response, CliError> {
    let limits = Limits {
        body_bytes: MAX_BODY,
        ..Limits::default()
    };
    let end = Instant::now() + span;
    TcpStream::connect_timeout(&SocketAddr::V4(address), CONNECT.min(span))
        .and_then(|mut conn| exchange(&mut conn, request, limits, end))
        .map_err(|error| CliError::Unreachable {
            address: address.to_string(),
            error,
        })
}

/// Reads a page of a daemon's address for operators.
pub(crate) fn page(address: SocketAddrV4, path: &str, span: Duration) -> Result<String, CliError> {
    let mut request = Request::new("GET", path);
    request.headers.add("Host", address);
    let response = ask(address, &request, span)?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if response.status == 200 {
        Ok(text)
    } else {
        Err(CliError::Refused(format!(
            "{address} answered {}: {text}",
            response.status
        )))
    }
}
