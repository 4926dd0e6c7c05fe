use {
    crate::{ConnectionEnd, Limits, Request, Response, ResponseReader},
    std::{
        io::{self, ErrorKind, Read, Write},
        net::TcpStream,
        time::Instant,
    },
};

/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 << 10;

/// Sends a request on a connection and blocks until its response arrives or `deadline` passes. The
/// deadline bounds the wait for the response, not the sending. Meant for tools and tests.
///
/// # Errors
/// Fails if the connection fails, if the response is malformed or truncated, or if it isn't
/// complete by the deadline.
pub fn exchange(
    conn: &mut TcpStream,
    request: &Request,
    limits: Limits,
    deadline: Instant,
) -> io::Result<Response> {
    conn.set_nodelay(true)?;
    let mut out = Vec::new();
    request.encode(&mut out);
    conn.write_all(&out)?;
    let mut reader = ResponseReader::new(limits);
    let mut buf = vec![0; READ_BYTES];
    loop {
        let response = reader.next_response(request.method == "HEAD");
        if let Some(response) = response.map_err(io::Error::other)? {
            return Ok(response);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        conn.set_read_timeout(Some(remaining))?;
        match conn.read(&mut buf)? {
            0 => {
                let response = reader
                    .finish(ConnectionEnd::Closed)
                    .map_err(io::Error::other)?;
                return response.ok_or_else(|| ErrorKind::UnexpectedEof.into());
            }
            size => reader.push(&buf[..size]),
        }
    }
}
