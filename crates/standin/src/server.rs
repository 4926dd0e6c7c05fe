//! A blocking HTTP server with a thread for each connection.

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

const CHUNK: usize = 16 << 10;
const MAX_BODY: usize = 64 << 20;

/// What the server does about a request.
pub(crate) enum Reaction {
    /// Answers.
    Answer(Response),
    /// Sends these bytes and closes.
    Bytes(Vec<u8>),
    /// Closes without an answer.
    Close,
    /// Never answers on this connection.
    Silence,
}

pub(crate) type Handler = dyn Fn(&Request, &TcpStream) -> Reaction + Send + Sync;

/// A server; it ends, with its connections, when it is dropped.
pub(crate) struct Server {
    pub(crate) address: SocketAddrV4,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    listener: Option<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Server {
    pub(crate) fn start(address: SocketAddrV4, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let port = listener.local_addr()?.port();
        let conns: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let stop: Arc<AtomicBool> = Arc::default();
        let (held, stopped) = (Arc::clone(&conns), Arc::clone(&stop));
        let thread = thread::spawn(move || accept(&listener, &held, &stopped, &handler));
        Ok(Self {
            address: SocketAddrV4::new(*address.ip(), port),
            conns,
            listener: Some(thread),
            stop,
        })
    }

    /// Ends all connections.
    pub(crate) fn close_connections(&self) {
        let mut conns = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        for conn in conns.drain(..) {
            // A connection that is closed already can't be shut down.
            let _ = conn.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Wakes the listener, which then sees that it is to stop.
        let _ = TcpStream::connect(self.address);
        if let Some(listener) = self.listener.take() {
            // A listener that panicked holds its address no longer either.
            let _ = listener.join();
        }
        self.close_connections();
    }
}

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
        // A connection that fails ends; that is all there is to it here.
        thread::spawn(move || serve(conn, &*handler).ok());
    }
}

fn serve(mut conn: TcpStream, handler: &Handler) -> io::Result<()> {
    conn.set_nodelay(true)?;
    let mut reader = RequestReader::new(Limits {
        body_bytes: MAX_BODY,
        ..Limits::default()
    });
    let mut chunk = vec![0; CHUNK];
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
            Reaction::Answer(response) => {
                let mut out = Vec::new();
                response.encode(&mut out, request.method == "HEAD");
                conn.write_all(&out)?;
                if response.closes_connection || request.closes_connection() {
                    return Ok(());
                }
            }
            Reaction::Bytes(bytes) => {
                conn.write_all(&bytes)?;
                return conn.shutdown(Shutdown::Both);
            }
            Reaction::Close => return conn.shutdown(Shutdown::Both),
            Reaction::Silence => while conn.read(&mut chunk)? > 0 {},
        }
    }
}
