//! A loopback TCP proxy that injects network faults.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes read at a time.
const CHUNK_SIZE: usize = 16 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The fault that a proxy injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Discards bytes sent to the server; connections stay open.
    DropToServer,
    /// Discards bytes sent to the client; connections stay open.
    DropToClient,
    /// Delays every chunk of bytes by this time, in both directions.
    Delay(Duration),
    /// Forwards everything.
    #[default]
    None,
    /// Closes open connections, and new ones as soon as they are accepted.
    Reset,
    /// Discards everything on connections open at the time, for as long as they last, even after
    /// the fault ends; newer connections work.
    BlackholeOpen,
}

/// The state that a proxy shares with its threads.
#[derive(Default)]
struct Shared {
    /// Open connections: the client's end, the server's end, and whether the connection discards
    /// everything.
    conns: Mutex<Vec<(TcpStream, TcpStream, Arc<AtomicBool>)>>,
    fault: Mutex<ProxyFault>,
    /// Whether the proxy accepts no more connections.
    stop: AtomicBool,
}

/// A proxy in front of one server; dropping it stops it and closes its connections.
pub struct Proxy {
    /// The address on which the proxy listens.
    pub address: SocketAddrV4,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy in front of `server`.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start(server: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
        let shared: Arc<Shared> = Arc::default();
        let thread_shared = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, server, &thread_shared));
        Ok(Self { address, shared })
    }

    /// Sets the fault to inject; `ProxyFault::None` ends it.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.shared.fault() = fault;
        match fault {
            ProxyFault::Reset => self.shared.close_connections(),
            ProxyFault::BlackholeOpen => {
                for (_, _, blackholed) in self.shared.conns().iter() {
                    blackholed.store(true, Ordering::Relaxed);
                }
            }
            _ => {}
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        // Unblocks the accept loop so that it sees the stop flag.
        let _ = TcpStream::connect(self.address);
        self.shared.close_connections();
    }
}

impl Shared {
    fn conns(&self) -> MutexGuard<'_, Vec<(TcpStream, TcpStream, Arc<AtomicBool>)>> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> MutexGuard<'_, ProxyFault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close_connections(&self) {
        for (client, server, _) in self.conns().drain(..) {
            // Shutting down fails if the connection is already closed.
            let _ = client.shutdown(Shutdown::Both);
            let _ = server.shutdown(Shutdown::Both);
        }
    }
}

/// Accepts connections and forwards them to the server until the stop flag is set.
fn accept(listener: &TcpListener, server: SocketAddrV4, shared: &Arc<Shared>) {
    for client in listener.incoming() {
        if shared.stop.load(Ordering::Relaxed) {
            return;
        }
        let Ok(client) = client else {
            continue;
        };
        if *shared.fault() == ProxyFault::Reset {
            continue;
        }
        // If the server can't be reached, the client's connection is closed.
        if let Ok(server) = TcpStream::connect_timeout(&SocketAddr::V4(server), CONNECT_TIMEOUT) {
            let _ = forward(client, server, shared);
        }
    }
}

/// Starts a thread for each direction of a connection.
fn forward(client: TcpStream, server: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let blackholed: Arc<AtomicBool> = Arc::default();
    let ends = (client.try_clone()?, server.try_clone()?);
    {
        let mut conns = shared.conns();
        conns.retain(|(client, _, _)| client.peer_addr().is_ok());
        conns.push((ends.0, ends.1, Arc::clone(&blackholed)));
    }
    for (from, to, drop_fault) in [
        (
            client.try_clone()?,
            server.try_clone()?,
            ProxyFault::DropToServer,
        ),
        (server, client, ProxyFault::DropToClient),
    ] {
        let (shared, blackholed) = (Arc::clone(shared), Arc::clone(&blackholed));
        thread::spawn(move || copy(from, to, drop_fault, &blackholed, &shared));
    }
    Ok(())
}

/// Copies bytes in one direction until either end closes; `drop_fault` is the fault that discards
/// bytes in this direction.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    drop_fault: ProxyFault,
    blackholed: &AtomicBool,
    shared: &Shared,
) {
    let mut chunk = vec![0; CHUNK_SIZE];
    loop {
        let size = match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(size) => size,
        };
        let fault = *shared.fault();
        if let ProxyFault::Delay(delay) = fault {
            thread::sleep(delay);
        }
        if fault == drop_fault || blackholed.load(Ordering::Relaxed) {
            continue;
        }
        if to.write_all(&chunk[..size]).is_err() {
            break;
        }
    }
    if !blackholed.load(Ordering::Relaxed) {
        // Shutting down fails if the connection is already closed.
        let _ = to.shutdown(Shutdown::Write);
    }
}
