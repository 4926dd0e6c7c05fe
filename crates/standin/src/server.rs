//! A blocking HTTP server with a thread per connection.

use {
    std::{
        io::{self, ErrorKind, Read, Write},
        net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    wire::{BodyCoding, Limits, Request, RequestReader, Response},
};

/// Bytes read at a time.
const CHUNK_SIZE: usize = 16 << 10;
/// How long a server that starts waits for its port.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause between two tries to listen.
const BIND_RETRY: Duration = Duration::from_millis(5);
/// The size of a chunk of a body that never ends, in bytes.
pub(crate) const FLOOD_CHUNK_BYTES: usize = 16 << 10;
/// The largest request body accepted, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// What the server does in reply to a request.
pub(crate) enum Reply {
    /// Sends a response.
    Response(Response),
    /// Sends raw bytes and closes the connection.
    RawBytes(Vec<u8>),
    /// Sends raw bytes and keeps the connection.
    KeptBytes(Vec<u8>),
    /// Closes the connection without a response.
    Close,
    /// Closes all connections and refuses new ones for a time, like a process that crashes and is
    /// started again.
    Crash(Duration),
    /// Sends a head and then the same bytes again and again until the client closes the connection.
    Flood {
        /// What is sent first.
        head: Vec<u8>,
        /// What is sent again and again.
        part: Vec<u8>,
    },
    /// Never responds, and discards what the client sends until it closes the connection.
    Hang,
}

/// A response with this one's headers and a body in chunks that never ends.
pub(crate) fn endless_body(response: &Response) -> Reply {
    let mut head = Vec::new();
    response.encode_head(&mut head, BodyCoding::Chunked);
    let mut part = Vec::new();
    BodyCoding::Chunked.encode_part(&mut part, &[b'.'; FLOOD_CHUNK_BYTES]);
    Reply::Flood { head, part }
}

/// Handles a request; the stream is that of its connection.
pub(crate) type Handler = dyn Fn(&Request, &TcpStream) -> Reply + Send + Sync;

/// An HTTP server; dropping it stops it and closes its connections.
pub(crate) struct Server {
    pub(crate) address: SocketAddrV4,
    /// The open connections.
    conns: Arc<Mutex<Vec<TcpStream>>>,
    /// The thread that accepts connections.
    listener: Option<JoinHandle<()>>,
    /// Whether the server accepts no more connections.
    stop: Arc<AtomicBool>,
}

/// A crash that a request asked for.
#[derive(Debug, Default)]
struct Crash {
    /// How long the server is to be down; `None` while no crash is asked for.
    down: Mutex<Option<Duration>>,
    /// Notified when the listener is closed.
    closed: Condvar,
}

impl Crash {
    /// Has the listener at `address` closed for a time, and waits until it is.
    fn begin(&self, address: SocketAddrV4, span: Duration) {
        let mut down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        if down.is_some() {
            return;
        }
        *down = Some(span);
        // Unblocks the accept loop so that it sees the crash.
        let _ = TcpStream::connect(address);
        while down.is_some() {
            down = self
                .closed
                .wait(down)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Takes the crash that was asked for, if any, once the listener is closed.
    fn take(&self) -> Option<Duration> {
        let mut down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        let span = down.take();
        self.closed.notify_all();
        span
    }

    fn is_asked_for(&self) -> bool {
        let down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        down.is_some()
    }
}

impl Server {
    /// Starts a server on an address; port 0 stands for any free port. If the port is in use, waits
    /// for it for a moment: a process that is just being started holds copies of all sockets, also
    /// of one that was closed meanwhile.
    pub(crate) fn start(address: SocketAddrV4, handler: Arc<Handler>) -> io::Result<Self> {
        let end = Instant::now() + BIND_TIMEOUT;
        let listener = bind(address, || Instant::now() >= end)?;
        let port = listener.local_addr()?.port();
        let conns: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let stop: Arc<AtomicBool> = Arc::default();
        let address = SocketAddrV4::new(*address.ip(), port);
        let crash: Arc<Crash> = Arc::default();
        let acceptor = Acceptor {
            address,
            conns: Arc::clone(&conns),
            crash: Arc::clone(&crash),
            handler,
            stop: Arc::clone(&stop),
        };
        let thread = thread::spawn(move || acceptor.run(listener));
        Ok(Self {
            address,
            conns,
            listener: Some(thread),
            stop,
        })
    }

    /// Closes all open connections.
    pub(crate) fn close_connections(&self) {
        close_all(&self.conns);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Unblocks the accept loop so that it sees the stop flag.
        let _ = TcpStream::connect(self.address);
        if let Some(listener) = self.listener.take() {
            // Joining fails if the thread panicked; its socket is closed in that case too.
            let _ = listener.join();
        }
        self.close_connections();
    }
}

/// Accepts the connections of a server.
struct Acceptor {
    address: SocketAddrV4,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    crash: Arc<Crash>,
    handler: Arc<Handler>,
    stop: Arc<AtomicBool>,
}

impl Acceptor {
    /// Accepts connections until the stop flag is set, with a break for each crash.
    fn run(&self, mut listener: TcpListener) {
        loop {
            self.accept(&listener);
            drop(listener);
            let Some(span) = self.crash.take() else {
                return;
            };
            thread::sleep(span);
            let Ok(bound) = bind(self.address, || self.stop.load(Ordering::Relaxed)) else {
                return;
            };
            listener = bound;
        }
    }

    /// Accepts connections and starts a thread for each until the stop flag is set or a crash is
    /// asked for.
    fn accept(&self, listener: &TcpListener) {
        for conn in listener.incoming() {
            if self.stop.load(Ordering::Relaxed) || self.crash.is_asked_for() {
                return;
            }
            let Ok(conn) = conn else {
                continue;
            };
            if let Ok(copy) = conn.try_clone() {
                let mut conns = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
                conns.retain(|conn| conn.peer_addr().is_ok());
                conns.push(copy);
            }
            let handler = Arc::clone(&self.handler);
            let crash = ConnCrash {
                address: self.address,
                conns: Arc::clone(&self.conns),
                crash: Arc::clone(&self.crash),
            };
            // An error ends only this connection.
            thread::spawn(move || serve(conn, &*handler, &crash).ok());
        }
    }
}

/// What a connection's thread needs to crash its server.
struct ConnCrash {
    address: SocketAddrV4,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    crash: Arc<Crash>,
}

impl ConnCrash {
    fn crash(&self, span: Duration) {
        self.crash.begin(self.address, span);
        close_all(&self.conns);
    }
}

/// Binds an address, again and again while it is in use, until that succeeds or `gives_up`.
fn bind(address: SocketAddrV4, gives_up: impl Fn() -> bool) -> io::Result<TcpListener> {
    loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && !gives_up() => {
                thread::sleep(BIND_RETRY);
            }
            result => return result,
        }
    }
}

/// Closes all connections.
fn close_all(conns: &Mutex<Vec<TcpStream>>) {
    let mut conns = conns.lock().unwrap_or_else(PoisonError::into_inner);
    for conn in conns.drain(..) {
        // Shutting down fails if the connection is already closed.
        let _ = conn.shutdown(Shutdown::Both);
    }
}

/// Handles the requests of a connection, one after another.
fn serve(mut conn: TcpStream, handler: &Handler, crash: &ConnCrash) -> io::Result<()> {
    conn.set_nodelay(true)?;
    let mut reader = RequestReader::new(Limits {
        body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    });
    let mut chunk = vec![0; CHUNK_SIZE];
    loop {
        let request = loop {
            match reader.next_request() {
                Ok(Some(request)) => break request,
                Ok(None) => {}
                Err(error) => {
                    let mut out = Vec::new();
                    Response::new(error.status()).encode(&mut out, false);
                    return conn.write_all(&out);
                }
            }
            match conn.read(&mut chunk)? {
                0 => return Ok(()),
                size => reader.push(&chunk[..size]),
            }
        };
        match handler(&request, &conn) {
            Reply::Response(response) => {
                let mut out = Vec::new();
                response.encode(&mut out, request.method == "HEAD");
                conn.write_all(&out)?;
                if response.closes_connection || request.closes_connection() {
                    return Ok(());
                }
            }
            Reply::RawBytes(bytes) => {
                conn.write_all(&bytes)?;
                return conn.shutdown(Shutdown::Both);
            }
            Reply::KeptBytes(bytes) => conn.write_all(&bytes)?,
            Reply::Crash(span) => {
                crash.crash(span);
                return Ok(());
            }
            Reply::Close => return conn.shutdown(Shutdown::Both),
            Reply::Flood { head, part } => {
                conn.write_all(&head)?;
                loop {
                    conn.write_all(&part)?;
                }
            }
            Reply::Hang => while conn.read(&mut chunk)? > 0 {},
        }
    }
}
