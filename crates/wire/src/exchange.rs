use {
    crate::{ConnectionEnd, Limits, Request, Response, ResponseReader},
    std::{
        io::{self, ErrorKind, Read, Write},
        net::TcpStream,
        time::Instant,
    },
};

const CHUNK: usize = 16 << 10;

/// Sends a request on a connection and waits for its answer until `end`. For tools and tests: it
/// blocks.
///
/// # Errors
/// Fails where the connection does, the answer isn't whole, or there is none in time.
pub fn exchange(
    conn: &mut TcpStream,
    request: &Request,
    limits: Limits,
    end: Instant,
) -> io::Result<Response> {
    conn.set_nodelay(true)?;
    let mut out = Vec::new();
    request.encode(&mut out);
    conn.write_all(&out)?;
    let mut reader = ResponseReader::new(limits);
    let mut chunk = vec![0; CHUNK];
    loop {
        let response = reader.next_response(request.method == "HEAD");
        if let Some(response) = response.map_err(io::Error::other)? {
            return Ok(response);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        conn.set_read_timeout(Some(left))?;
        match conn.read(&mut chunk)? {
            0 => {
                let whole = reader
                    .finish(ConnectionEnd::Closed)
                    .map_err(io::Error::other)?;
                return whole.ok_or_else(|| ErrorKind::UnexpectedEof.into());
            }
            size => reader.push(&chunk[..size]),
        }
    }
}
