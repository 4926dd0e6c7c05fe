use {
    crate::{Conn, Limits, Request, Response, WireError},
    parking_lot::{Condvar, Mutex},
    std::{
        collections::HashMap,
        io::{self, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const STACK: usize = 256 << 10;
const FULL: &[u8] = b"HTTP/1.1 503 -\r\nContent-Length: 0\r\nRetry-After: 1\r\n\
    Anvilferry-Outcome: not-run\r\nConnection: close\r\n\r\n";

/// Answers the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `sock` tells whether its caller is still there.
    ///
    /// `None` closes the connection without an answer.
    fn handle(&self, request: Request, sock: &TcpStream) -> Option<Response>;
}

/// A listener with a thread for each open connection and a bound on their number.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    /// A second handle of each open connection, with whether it is inside a request.
    conns: Mutex<HashMap<u64, (TcpStream, bool)>>,
    empty: Condvar,
    limits: Limits,
    next: AtomicU64,
    stop: AtomicBool,
}

impl Server {
    /// Starts to listen at `address`.
    ///
    /// # Errors
    /// Fails where the address can't be bound or no thread can be had.
    pub fn start(
        address: SocketAddr,
        limits: Limits,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            conns: Mutex::default(),
            empty: Condvar::new(),
            limits,
            next: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let own = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || own.accept(&listener, &handler))?;
        Ok(Self {
            address,
            shared,
            thread: Some(thread),
        })
    }

    /// The address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    pub fn conns(&self) -> usize {
        self.shared.conns.lock().len()
    }

    /// Closes the listener and idle connections, waits at most `grace` for the requests in
    /// progress, then closes their connections and waits for every thread.
    pub fn stop(&mut self, grace: Duration) {
        self.shared.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            drop(TcpStream::connect(self.address));
            drop(thread.join());
        }
        let mut conns = self.shared.conns.lock();
        for (sock, _) in conns.values().filter(|(_, busy)| !busy) {
            drop(sock.shutdown(Shutdown::Both));
        }
        if !conns.is_empty() {
            self.shared.empty.wait_for(&mut conns, grace);
        }
        for (sock, _) in conns.values() {
            drop(sock.shutdown(Shutdown::Both));
        }
        while !conns.is_empty() {
            self.shared.empty.wait(&mut conns);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop(Duration::ZERO);
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, listener: &TcpListener, handler: &Arc<dyn Handler>) {
        while !self.stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((sock, _)) => self.admit(sock, handler),
                // Out of descriptors: give those that are open time to close.
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
    }

    fn admit(self: &Arc<Self>, mut sock: TcpStream, handler: &Arc<dyn Handler>) {
        if self.stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(twin) = sock.try_clone() else { return };
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let mut conns = self.conns.lock();
        if conns.len() >= self.limits.conns {
            drop(conns);
            drop(sock.set_nonblocking(true));
            drop(sock.write_all(FULL));
            return;
        }
        conns.insert(id, (twin, false));
        drop(conns);
        let own = Arc::clone(self);
        let handler = Arc::clone(handler);
        let spawned = thread::Builder::new()
            .name("conn".to_owned())
            .stack_size(STACK)
            .spawn(move || {
                drop(own.serve(id, sock, &*handler));
                own.close(id);
            });
        if spawned.is_err() {
            self.close(id);
        }
    }

    fn close(&self, id: u64) {
        let mut conns = self.conns.lock();
        conns.remove(&id);
        if conns.is_empty() {
            self.empty.notify_all();
        }
    }

    fn serve(&self, id: u64, sock: TcpStream, handler: &dyn Handler) -> Result<(), WireError> {
        let mut conn = Conn::new(sock, self.limits)?;
        loop {
            let request = match conn.read_request() {
                Ok(request) => request,
                Err(error) => return reject(&mut conn, error),
            };
            self.mark(id, true);
            let head = request.method == "HEAD";
            let close = request
                .headers
                .get("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"));
            let Some(mut response) = handler.handle(request, conn.sock()) else {
                return Ok(());
            };
            let stopping = self.stop.load(Ordering::SeqCst);
            response.last |= close || stopping;
            conn.write_response(&response, head)?;
            self.mark(id, false);
            if response.last {
                return Ok(());
            }
        }
    }

    fn mark(&self, id: u64, busy: bool) {
        if let Some(entry) = self.conns.lock().get_mut(&id) {
            entry.1 = busy;
        }
    }
}

fn reject(conn: &mut Conn, error: WireError) -> Result<(), WireError> {
    let Some(status) = error.status() else {
        return Err(error);
    };
    let body = format!("{{\"title\":\"bad request\",\"status\":{status},\"detail\":\"{error}\"}}");
    let mut response = Response::new(status, "application/problem+json", body)
        .with("Anvilferry-Outcome", "not-run");
    response.last = true;
    conn.write_response(&response, false)
}
