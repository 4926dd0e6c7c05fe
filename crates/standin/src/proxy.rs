//! A loopback TCP proxy that injects network faults.

use {
    socket2::{Domain, Socket, Type},
    std::{
        collections::HashMap,
        io::{self, Read, Write},
        net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Bytes read at a time.
const CHUNK_SIZE: usize = 16 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection that was silent for so long waits for a response, or is idle.
const WAITING: Duration = Duration::from_secs(1);

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

/// How a proxy cuts one client off from its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Discards everything, on open and on new connections.
    Hang,
    /// Closes new connections as soon as they are accepted; open ones go on.
    RefuseNew,
    /// Closes open connections, and new ones as soon as they are accepted.
    Reset,
}

/// What the two directions of a connection share.
struct Traffic {
    /// Whether everything is discarded.
    blackholed: AtomicBool,
    /// When bytes last passed.
    passed: Mutex<Instant>,
}

impl Traffic {
    fn is_blackholed(&self) -> bool {
        self.blackholed.load(Ordering::Relaxed)
    }

    fn blackhole(&self) {
        self.blackholed.store(true, Ordering::Relaxed);
    }

    fn passed(&self) -> MutexGuard<'_, Instant> {
        self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection.
struct ProxiedConn {
    traffic: Arc<Traffic>,
    client: TcpStream,
    /// The client's address.
    from: IpAddr,
    server: TcpStream,
}

impl ProxiedConn {
    fn close(&self) {
        // Shutting down fails if the connection is already closed.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

/// The state that a proxy shares with its threads.
#[derive(Default)]
struct Shared {
    conns: Mutex<Vec<ProxiedConn>>,
    /// The clients that are cut off, by address.
    cuts: Mutex<HashMap<IpAddr, Cut>>,
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
                for conn in self.shared.conns().iter() {
                    conn.traffic.blackhole();
                }
            }
            _ => {}
        }
    }

    /// Discards everything on connections on which no byte has passed for [`WAITING`], for as long as
    /// they last.
    pub fn silence_waiting(&self) {
        for conn in self.shared.conns().iter() {
            if conn.traffic.passed().elapsed() >= WAITING {
                conn.traffic.blackhole();
            }
        }
    }

    /// Cuts the client with this address off from the server; `None` ends that for new connections.
    pub fn cut(&self, client: Ipv4Addr, cut: Option<Cut>) {
        let client = IpAddr::V4(client);
        let mut cuts = self.shared.cuts();
        match cut {
            Some(cut) => cuts.insert(client, cut),
            None => cuts.remove(&client),
        };
        drop(cuts);
        for conn in self
            .shared
            .conns()
            .iter()
            .filter(|conn| conn.from == client)
        {
            match cut {
                Some(Cut::Hang) => conn.traffic.blackhole(),
                Some(Cut::Reset) => conn.close(),
                Some(Cut::RefuseNew) | None => {}
            }
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
    fn conns(&self) -> MutexGuard<'_, Vec<ProxiedConn>> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cuts(&self) -> MutexGuard<'_, HashMap<IpAddr, Cut>> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> MutexGuard<'_, ProxyFault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close_connections(&self) {
        for conn in self.conns().drain(..) {
            conn.close();
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
        let Ok(from) = client.peer_addr().map(|address| address.ip()) else {
            continue;
        };
        let cut = shared.cuts().get(&from).copied();
        let refused = matches!(cut, Some(Cut::RefuseNew | Cut::Reset));
        if refused || *shared.fault() == ProxyFault::Reset {
            continue;
        }
        // If the server can't be reached, the client's connection is closed.
        if let Ok(server) = connect_from(from, server) {
            let traffic = Arc::new(Traffic {
                blackholed: AtomicBool::new(cut == Some(Cut::Hang)),
                passed: Mutex::new(Instant::now()),
            });
            let conn = ProxiedConn {
                traffic,
                client,
                from,
                server,
            };
            let _ = forward(conn, shared);
        }
    }
}

/// Connects to a server from the client's own address, by which the server knows the client.
fn connect_from(client: IpAddr, server: SocketAddrV4) -> io::Result<TcpStream> {
    let sock = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    sock.bind(&SocketAddr::new(client, 0).into())?;
    sock.connect_timeout(&server.into(), CONNECT_TIMEOUT)?;
    Ok(sock.into())
}

/// Starts a thread for each direction of a connection.
fn forward(conn: ProxiedConn, shared: &Arc<Shared>) -> io::Result<()> {
    let (client, server) = (&conn.client, &conn.server);
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    for (from, to, drop_fault) in [
        (
            client.try_clone()?,
            server.try_clone()?,
            ProxyFault::DropToServer,
        ),
        (
            server.try_clone()?,
            client.try_clone()?,
            ProxyFault::DropToClient,
        ),
    ] {
        let (shared, traffic) = (Arc::clone(shared), Arc::clone(&conn.traffic));
        thread::spawn(move || copy(from, to, drop_fault, &traffic, &shared));
    }
    let mut conns = shared.conns();
    conns.retain(|conn| conn.client.peer_addr().is_ok());
    conns.push(conn);
    Ok(())
}

/// Copies bytes in one direction until either end closes; `drop_fault` is the fault that discards
/// bytes in this direction.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    drop_fault: ProxyFault,
    traffic: &Traffic,
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
        *traffic.passed() = Instant::now();
        if fault == drop_fault || traffic.is_blackholed() {
            continue;
        }
        if to.write_all(&chunk[..size]).is_err() {
            break;
        }
    }
    if !traffic.is_blackholed() {
        // Shutting down fails if the connection is already closed.
        let _ = to.shutdown(Shutdown::Write);
    }
}
