//! A caller: asks the directory, connects, and sends requests.

use {
    crate::{config::HOST, outcome::Outcome},
    platform::{
        decode_addresses, read_response_head, resolve_request,
        standin::{client_request, guarantees_not_run, retry_after},
    },
    std::{
        io,
        net::{SocketAddr, SocketAddrV4, TcpStream},
        time::{Duration, Instant},
    },
    unit::Span,
    wire::{Limits, Request, Response, exchange},
};

const CONNECT: Duration = Duration::from_secs(1);

/// What came of one request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The daemon to which it was sent.
    pub daemon: SocketAddrV4,
    /// When the caller may come back, where it was told.
    pub retry_after: Option<Span>,
    /// The request's id.
    pub id: String,
    /// What is known of it.
    pub outcome: Outcome,
    /// The answer's status, where there was one.
    pub status: Option<u16>,
    /// How long it took.
    pub elapsed: Duration,
}

/// A caller in a data centre.
#[derive(Debug)]
pub struct Caller {
    /// A connection that is kept, and its daemon.
    conn: Option<(SocketAddrV4, TcpStream)>,
    /// How long it waits for an answer.
    pub deadline: Span,
    /// Its name, by which its requests are told from others'.
    name: String,
    sent: u64,
}

impl Caller {
    /// A caller that waits at most `deadline` for an answer.
    pub fn new(name: &str, deadline: Span) -> Self {
        Self {
            conn: None,
            deadline,
            name: name.to_owned(),
            sent: 0,
        }
    }

    /// Asks a directory which addresses to use.
    ///
    /// # Errors
    /// Fails where the directory can't be reached or doesn't answer as it should.
    pub fn resolve(directory: SocketAddrV4, centre: &str) -> io::Result<Vec<SocketAddrV4>> {
        let mut conn = TcpStream::connect_timeout(&SocketAddr::V4(directory), CONNECT)?;
        let request = resolve_request(HOST, "region", centre);
        let response = exchange(
            &mut conn,
            &request,
            Limits::default(),
            Instant::now() + CONNECT,
        )?;
        let (addresses, _) = decode_addresses(&response).map_err(io::Error::other)?;
        Ok(addresses)
    }

    /// Sends a request to a daemon, on the connection that is kept where there is one.
    pub fn send(&mut self, daemon: SocketAddrV4, method: &str, path: &str) -> Attempt {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let body = if method == "POST" {
            b"body".to_vec()
        } else {
            Vec::new()
        };
        let request = client_request(method, path, HOST, &id, self.deadline, body);
        let began = Instant::now();
        let result = match self.connection(daemon) {
            Ok(conn) => self
                .exchange(daemon, conn, &request, began)
                .map_err(|_| Outcome::Unanswered),
            Err(_) => Err(Outcome::Unreachable),
        };
        let elapsed = began.elapsed();
        match result {
            Ok(response) => judge(&response, daemon, id, elapsed),
            Err(outcome) => Attempt {
                daemon,
                retry_after: None,
                id,
                outcome,
                status: None,
                elapsed,
            },
        }
    }

    /// Closes the connection that is kept.
    pub fn disconnect(&mut self) {
        self.conn = None;
    }

    fn connection(&mut self, daemon: SocketAddrV4) -> io::Result<TcpStream> {
        match self.conn.take() {
            Some((address, conn)) if address == daemon => Ok(conn),
            _ => TcpStream::connect_timeout(&SocketAddr::V4(daemon), CONNECT),
        }
    }

    fn exchange(
        &mut self,
        daemon: SocketAddrV4,
        mut conn: TcpStream,
        request: &Request,
        began: Instant,
    ) -> io::Result<Response> {
        let end = began + Duration::from(self.deadline) + Duration::from_millis(500);
        let response = exchange(&mut conn, request, Limits::default(), end)?;
        if !response.closes_connection {
            self.conn = Some((daemon, conn));
        }
        Ok(response)
    }
}

fn judge(response: &Response, daemon: SocketAddrV4, id: String, elapsed: Duration) -> Attempt {
    let head = read_response_head(response);
    let whole = head.signed && head.id.as_deref() == Some(&id);
    let outcome = match response.status {
        200 if whole => Outcome::Served,
        200 => Outcome::Mixed,
        _ if head.id.as_deref() != Some(&id) => Outcome::Mixed,
        _ if guarantees_not_run(response) => Outcome::NotRun,
        _ => Outcome::Failed,
    };
    Attempt {
        daemon,
        retry_after: retry_after(response),
        id,
        outcome,
        status: Some(response.status),
        elapsed,
    }
}
