//! A loopback proxy that harms what passes through it.

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

const CHUNK: usize = 16 << 10;
const CONNECT: Duration = Duration::from_millis(500);

/// What a proxy does to the bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Bytes towards the server vanish.
    DropToServer,
    /// Bytes towards the client vanish.
    DropToClient,
    /// Every piece comes later.
    Delay(Duration),
    /// Nothing.
    #[default]
    None,
    /// Connections are reset, new ones too.
    Reset,
    /// Connections that are open go silent for good; new ones work.
    BlackholeOpen,
}

#[derive(Default)]
struct Shared {
    conns: Mutex<Vec<(TcpStream, TcpStream, Arc<AtomicBool>)>>,
    harm: Mutex<ProxyFault>,
    stop: AtomicBool,
}

/// A proxy before one server; it ends, with its connections, when it is dropped.
pub struct Proxy {
    /// Where it is reached.
    pub address: SocketAddrV4,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy before `server`.
    ///
    /// # Errors
    /// Fails where no port can be had.
    pub fn start(server: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
        let shared: Arc<Shared> = Arc::default();
        let own = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, server, &own));
        Ok(Self { address, shared })
    }

    /// Begins or ends harm.
    pub fn set_fault(&self, harm: ProxyFault) {
        *self.shared.harm() = harm;
        match harm {
            ProxyFault::Reset => self.shared.close_connections(),
            ProxyFault::BlackholeOpen => {
                for (_, _, silent) in self.shared.conns().iter() {
                    silent.store(true, Ordering::Relaxed);
                }
            }
            _ => {}
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        // Wakes the listener, which then sees that it is to stop.
        let _ = TcpStream::connect(self.address);
        self.shared.close_connections();
    }
}

impl Shared {
    fn conns(&self) -> MutexGuard<'_, Vec<(TcpStream, TcpStream, Arc<AtomicBool>)>> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn harm(&self) -> MutexGuard<'_, ProxyFault> {
        self.harm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close_connections(&self) {
        for (client, server, _) in self.conns().drain(..) {
            // A connection that is closed already can't be shut down.
            let _ = client.shutdown(Shutdown::Both);
            let _ = server.shutdown(Shutdown::Both);
        }
    }
}

fn accept(listener: &TcpListener, server: SocketAddrV4, shared: &Arc<Shared>) {
    for client in listener.incoming() {
        if shared.stop.load(Ordering::Relaxed) {
            return;
        }
        let Ok(client) = client else {
            continue;
        };
        if *shared.harm() == ProxyFault::Reset {
            continue;
        }
        // A server that can't be reached shows to the client as a close.
        if let Ok(server) = TcpStream::connect_timeout(&SocketAddr::V4(server), CONNECT) {
            let _ = join(client, server, shared);
        }
    }
}

fn join(client: TcpStream, server: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let silent: Arc<AtomicBool> = Arc::default();
    let ends = (client.try_clone()?, server.try_clone()?);
    {
        let mut conns = shared.conns();
        conns.retain(|(client, _, _)| client.peer_addr().is_ok());
        conns.push((ends.0, ends.1, Arc::clone(&silent)));
    }
    for (from, to, lost) in [
        (
            client.try_clone()?,
            server.try_clone()?,
            ProxyFault::DropToServer,
        ),
        (server, client, ProxyFault::DropToClient),
    ] {
        let (shared, silent) = (Arc::clone(shared), Arc::clone(&silent));
        thread::spawn(move || pass(from, to, lost, &silent, &shared));
    }
    Ok(())
}

/// Passes bytes one way until either end closes.
fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    lost: ProxyFault,
    silent: &AtomicBool,
    shared: &Shared,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let size = match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(size) => size,
        };
        let harm = *shared.harm();
        if let ProxyFault::Delay(span) = harm {
            thread::sleep(span);
        }
        if harm == lost || silent.load(Ordering::Relaxed) {
            continue;
        }
        if to.write_all(&chunk[..size]).is_err() {
            break;
        }
    }
    if !silent.load(Ordering::Relaxed) {
        // A connection that is closed already can't be shut down.
        let _ = to.shutdown(Shutdown::Write);
    }
}
