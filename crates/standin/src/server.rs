//! A blocking HTTP server with a thread per connection.

use {
    std::{
        io::{self, Read, Write},
        net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
    },
    wire::{Limits, Request, RequestReader, Response},
};

/// Bytes read at a time.
const CHUNK_SIZE: usize = 16 << 10;
/// The largest request body accepted, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// What the server does in reply to a request.
pub(crate) enum Reply {
    /// Sends a response.
    Response(Response),
    /// Sends raw bytes and closes the connection.
    RawBytes(Vec<u8>),
    /// Closes the connection without a response.
    Close,
    /// Never responds, and discards what the client sends until it closes the connection.
    Hang,
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

impl Server {
    /// Starts a server on an address; port 0 stands for any free port.
    pub(crate) fn start(address: SocketAddrV4, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let port = listener.local_addr()?.port();
        let conns: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let stop: Arc<AtomicBool> = Arc::default();
        let (thread_conns, thread_stop) = (Arc::clone(&conns), Arc::clone(&stop));
        let thread =
            thread::spawn(move || accept(&listener, &thread_conns, &thread_stop, &handler));
        Ok(Self {
            address: SocketAddrV4::new(*address.ip(), port),
            conns,
            listener: Some(thread),
            stop,
        })
    }

    /// Closes all open connections.
    pub(crate) fn close_connections(&self) {
        let mut conns = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        for conn in conns.drain(..) {
            // Shutting down fails if the connection is already closed.
            let _ = conn.shutdown(Shutdown::Both);
        }
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

/// Accepts connections and starts a thread for each until the stop flag is set.
fn accept(
    listener: &TcpListener,
    conns: &Mutex<Vec<TcpStream>>,
    stop: &AtomicBool,
    handler: &Arc<Handler>,
) {
    for conn in listener.incoming() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let Ok(conn) = conn else {
            continue;
        };
        if let Ok(copy) = conn.try_clone() {
            let mut conns = conns.lock().unwrap_or_else(PoisonError::into_inner);
            conns.retain(|conn| conn.peer_addr().is_ok());
            conns.push(copy);
        }
        let handler = Arc::clone(handler);
        // An error ends only this connection.
        thread::spawn(move || serve(conn, &*handler).ok());
    }
}

/// Handles the requests of a connection, one after another.
fn serve(mut conn: TcpStream, handler: &Handler) -> io::Result<()> {
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
            Reply::Close => return conn.shutdown(Shutdown::Both),
            Reply::Hang => while conn.read(&mut chunk)? > 0 {},
        }
    }
}
