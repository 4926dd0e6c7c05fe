//! Callers that take their responses slowly.

use {
    crate::config::{HOST, READ_PREFIX},
    platform::standin::client_request,
    socket2::SockRef,
    std::{
        io::{self, Read, Write},
        net::{SocketAddrV4, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    unit::Span,
};

/// The receive buffer of a slow caller, in bytes.
const RECEIVE_BUFFER: usize = 16 << 10;
/// How many bytes a slow caller takes at once.
const BITE_BYTES: usize = 16 << 10;
/// The time between two of them.
const BITE_PERIOD: Duration = Duration::from_millis(100);

/// Callers on one daemon, each with one request whose response it takes slowly.
pub struct SlowCallers {
    conns: Vec<TcpStream>,
}

impl SlowCallers {
    /// Connects `count` callers to a daemon and sends their requests, each with this deadline.
    ///
    /// # Errors
    /// Fails if a connection fails.
    pub fn start(daemon: SocketAddrV4, count: usize, deadline: Span) -> io::Result<Self> {
        let conns = (0..count)
            .map(|at| {
                let mut conn = TcpStream::connect(daemon)?;
                SockRef::from(&conn).set_recv_buffer_size(RECEIVE_BUFFER)?;
                let path = format!("{READ_PREFIX}1");
                let id = format!("slow-{at}");
                let request = client_request("GET", &path, HOST, &id, deadline, Vec::new());
                let mut bytes = Vec::new();
                request.encode(&mut bytes);
                conn.write_all(&bytes)?;
                conn.set_nonblocking(true)?;
                Ok(conn)
            })
            .collect::<io::Result<Vec<TcpStream>>>()?;
        Ok(Self { conns })
    }

    /// Takes bytes slowly for a while; returns how many arrived at each caller.
    pub fn run(&mut self, duration: Duration) -> Vec<usize> {
        let end = Instant::now() + duration;
        let mut taken = vec![0; self.conns.len()];
        let mut chunk = vec![0; BITE_BYTES];
        while Instant::now() < end {
            for (conn, taken) in self.conns.iter_mut().zip(&mut taken) {
                // An error means that nothing is there yet or that the daemon has closed.
                *taken += conn.read(&mut chunk).unwrap_or_default();
            }
            thread::sleep(BITE_PERIOD);
        }
        taken
    }
}
