//! A caller: resolves daemon addresses through the directory, connects and sends requests.

use {
    crate::{config::HOST, outcome::Outcome},
    platform::{
        decode_addresses, read_response_head, resolve_request,
        standin::{add_key, client_request, guarantees_not_run, retry_after},
    },
    std::{
        io,
        net::{SocketAddr, SocketAddrV4, TcpStream},
        time::{Duration, Instant},
    },
    unit::Span,
    wire::{Limits, Request, Response, exchange},
};

/// Timeout for opening a connection, and then for the exchange with the directory.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest body of a response that a caller takes, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// One request sent by a caller, and its result.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// How long its connection had been open; zero for a new one, or if none could be opened.
    pub conn_age: Duration,
    /// The daemon that the request was sent to.
    pub daemon: SocketAddrV4,
    /// The delay before a retry, if the response names one.
    pub retry_after: Option<Span>,
    /// The request's id.
    pub id: String,
    /// The key that it was sent with.
    pub key: Option<String>,
    /// What the caller knows of the request in the end.
    pub outcome: Outcome,
    /// The status of the response, if there was one.
    pub status: Option<u16>,
    /// The time from connecting to the result.
    pub elapsed: Duration,
}

/// An open connection.
#[derive(Debug)]
struct KeptConn {
    /// The daemon at the other end.
    daemon: SocketAddrV4,
    opened: Instant,
    stream: TcpStream,
}

/// A caller, which sends one request at a time.
#[derive(Debug)]
pub struct Caller {
    /// The kept-alive connection.
    conn: Option<KeptConn>,
    /// The time allowed for each request, sent along with it.
    pub deadline: Span,
    /// The key of the client account that its requests belong to, if any.
    pub key: Option<String>,
    /// The prefix of this caller's request ids.
    name: String,
    /// The number of requests sent so far.
    sent: u64,
}

impl Caller {
    /// Creates a caller whose requests have `deadline` to complete.
    pub fn new(name: &str, deadline: Span) -> Self {
        Self {
            conn: None,
            deadline,
            key: None,
            name: name.to_owned(),
            sent: 0,
        }
    }

    /// Asks a directory which daemons a caller in `centre` should use.
    ///
    /// # Errors
    /// Fails if the directory can't be reached or its response can't be decoded.
    pub fn resolve(directory: SocketAddrV4, centre: &str) -> io::Result<Vec<SocketAddrV4>> {
        let mut conn = TcpStream::connect_timeout(&SocketAddr::V4(directory), CONNECT_TIMEOUT)?;
        let request = resolve_request(HOST, "region", centre);
        let response = exchange(
            &mut conn,
            &request,
            Limits::default(),
            Instant::now() + CONNECT_TIMEOUT,
        )?;
        let (addresses, _) = decode_addresses(&response).map_err(io::Error::other)?;
        Ok(addresses)
    }

    /// Sends a request to a daemon, reusing the kept-alive connection if it leads there.
    pub fn send(&mut self, daemon: SocketAddrV4, method: &str, path: &str) -> RequestResult {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let body = if method == "POST" {
            b"body".to_vec()
        } else {
            Vec::new()
        };
        let mut request = client_request(method, path, HOST, &id, self.deadline, body);
        if let Some(key) = &self.key {
            add_key(&mut request, key);
        }
        let began = Instant::now();
        let conn = self.connection(daemon);
        let opened = conn.as_ref().map_or(began, |conn| conn.opened);
        let result = match conn {
            Ok(conn) => self
                .exchange(conn, &request, began)
                .map_err(|_| Outcome::Unanswered),
            Err(_) => Err(Outcome::Unreachable),
        };
        let (outcome, retry_after, status) = match &result {
            Ok(response) => (
                classify(response, &id),
                retry_after(response),
                Some(response.status),
            ),
            Err(outcome) => (*outcome, None, None),
        };
        RequestResult {
            conn_age: began.saturating_duration_since(opened),
            daemon,
            retry_after,
            id,
            key: self.key.clone(),
            outcome,
            status,
            elapsed: began.elapsed(),
        }
    }

    /// Closes the kept-alive connection.
    pub fn disconnect(&mut self) {
        self.conn = None;
    }

    /// Takes the kept-alive connection if it leads to `daemon`; otherwise closes it and opens
    /// another.
    fn connection(&mut self, daemon: SocketAddrV4) -> io::Result<KeptConn> {
        match self.conn.take() {
            Some(conn) if conn.daemon == daemon => Ok(conn),
            _ => Ok(KeptConn {
                daemon,
                opened: Instant::now(),
                stream: TcpStream::connect_timeout(&SocketAddr::V4(daemon), CONNECT_TIMEOUT)?,
            }),
        }
    }

    /// Sends a request and waits for its response. Keeps the connection unless the response closes
    /// it.
    fn exchange(
        &mut self,
        mut conn: KeptConn,
        request: &Request,
        began: Instant,
    ) -> io::Result<Response> {
        // Waits a little past the deadline, so that the daemon's own timeout response can arrive.
        let end = began + Duration::from(self.deadline) + Duration::from_millis(500);
        let limits = Limits {
            body_bytes: MAX_BODY_BYTES,
            ..Limits::default()
        };
        let response = exchange(&mut conn.stream, request, limits, end)?;
        if !response.closes_connection {
            self.conn = Some(conn);
        }
        Ok(response)
    }
}

/// Decides the outcome of a request with this id from its response.
fn classify(response: &Response, id: &str) -> Outcome {
    let head = read_response_head(response);
    let same_id = head.id.as_deref() == Some(id);
    match response.status {
        // Not left to the parser, which daemons use, too.
        ..200 | 600.. => Outcome::Mixed,
        200 if head.signed && same_id => Outcome::Served,
        200 => Outcome::Mixed,
        _ if !same_id => Outcome::Mixed,
        _ if guarantees_not_run(response) => Outcome::NotRun,
        _ => Outcome::Failed,
    }
}
