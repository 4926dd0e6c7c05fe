use {
    crate::dial::connect,
    nix::poll::{PollFd, PollFlags, PollTimeout, poll},
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        os::fd::AsFd,
        time::{Duration, Instant},
    },
    unit::{Map, Name},
    wire::{Conn, WireError},
};

/// An idle connection.
#[derive(Debug)]
struct Idle {
    /// The worker's life behind it; `None` where it wasn't asked for.
    boot: Option<u64>,
    conn: Conn,
    since: Instant,
}

/// What the pool had.
#[derive(Debug)]
pub enum Taken {
    /// A connection that still stands.
    Conn(Conn),
    /// Only connections that the worker had closed, or of another life.
    Dead,
    /// Nothing.
    Empty,
}

/// Idle connections to workers; the one used last is used first.
#[derive(Debug, Default)]
pub struct Pool(Mutex<Map<Name, Vec<Idle>>>);

impl Pool {
    /// Takes a connection that still stands and leads to the life `boot`.
    ///
    /// Those that don't are closed on the way.
    pub fn take(&self, worker: &Name, boot: Option<u64>) -> Taken {
        let mut pool = self.0.lock();
        let mut taken = Taken::Empty;
        while let Some(last) = pool.get_mut(worker).and_then(Vec::pop) {
            if (boot.is_none() || last.boot == boot) && quiet(&last.conn) {
                return Taken::Conn(last.conn);
            }
            taken = Taken::Dead;
        }
        taken
    }

    /// Opens a connection without asking the worker anything.
    ///
    /// # Errors
    /// Fails where the worker refuses or takes longer than `time`.
    pub fn connect(&self, address: SocketAddr, time: Duration) -> Result<Conn, WireError> {
        connect(address, time)
    }

    /// Keeps a connection for later.
    pub fn put(&self, worker: &Name, boot: Option<u64>, conn: Conn) {
        let idle = Idle {
            boot,
            conn,
            since: Instant::now(),
        };
        self.0.lock().entry(worker.clone()).or_default().push(idle);
    }

    /// Closes all connections to a worker.
    pub fn drop_all(&self, worker: &Name) {
        self.0.lock().remove(worker);
    }

    /// Closes connections that were idle for longer than `most` or were closed by the worker, and
    /// says how many to which worker.
    pub fn reap(&self, most: Duration) -> Vec<(Name, u32)> {
        let mut reaped = Vec::new();
        for (worker, idle) in self.0.lock().iter_mut() {
            let before = idle.len();
            idle.retain(|idle| idle.since.elapsed() < most && quiet(&idle.conn));
            if let Ok(gone @ 1..) = u32::try_from(before - idle.len()) {
                reaped.push((worker.clone(), gone));
            }
        }
        reaped
    }

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.0.lock().values().map(Vec::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Whether nothing has arrived on an idle connection, neither bytes nor its end.
fn quiet(conn: &Conn) -> bool {
    let mut fds = [PollFd::new(conn.sock().as_fd(), PollFlags::POLLIN)];
    !conn.ahead() && poll(&mut fds, PollTimeout::ZERO) == Ok(0)
}
