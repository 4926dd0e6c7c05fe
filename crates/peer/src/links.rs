use {
    crate::{Frame, Keys, PeerError, link::Link, serve, tls},
    crossbeam::channel::Sender,
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
    },
    tokio::{
        net::TcpListener,
        runtime::Builder,
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    },
    tokio_rustls::TlsConnector,
    unit::{Map, Name},
};

/// What comes from peers.
#[derive(Debug)]
pub enum Incoming {
    /// A link to a peer broke, or can't be opened.
    Down(Name),
    /// A frame.
    Frame(Name, Frame),
    /// A link to a peer was opened.
    Up(Name),
}

#[derive(Debug)]
enum Command {
    Peers(Vec<(Name, SocketAddr)>),
    Send(Name, Frame),
}

/// The links to all peers, kept by one thread.
///
/// Closing the channel of commands ends the thread.
#[derive(Debug)]
pub struct Links {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    commands: Mutex<Option<UnboundedSender<Command>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// What every link of a daemon shares.
#[derive(Clone)]
pub(crate) struct Shared {
    /// Bytes sent and received, encryption included.
    pub(crate) bytes: Arc<AtomicU64>,
    pub(crate) connector: TlsConnector,
    pub(crate) keys: Keys,
    pub(crate) me: Name,
    pub(crate) sink: Sender<Incoming>,
}

impl Links {
    /// Listens for peers at `address` and gives what comes to `sink`.
    ///
    /// # Errors
    /// Fails where the address can't be bound or no thread can be had.
    pub fn start(
        address: SocketAddr,
        me: Name,
        keys: Keys,
        sink: Sender<Incoming>,
    ) -> Result<Self, PeerError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let acceptor = tls::acceptor()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let shared = Shared {
            bytes: Arc::clone(&bytes),
            connector: tls::connector()?,
            keys,
            me,
            sink,
        };
        let (commands, queue) = unbounded_channel();
        let thread = thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || {
                runtime.block_on(async {
                    let accept = serve::accept(listener, acceptor, shared.clone());
                    tokio::select! {
                        () = accept => {}
                        () = run(queue, shared) => {}
                    }
                });
            })?;
        Ok(Self {
            address,
            bytes,
            commands: Mutex::new(Some(commands)),
            thread: Mutex::new(Some(thread)),
        })
    }

    /// The address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes sent to and received from peers so far, encryption included.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Keeps links to exactly these peers.
    pub fn set_peers(&self, peers: Vec<(Name, SocketAddr)>) {
        self.command(Command::Peers(peers));
    }

    /// Sends a frame if a link to the peer is open; otherwise it is lost.
    pub fn send(&self, peer: Name, frame: Frame) {
        self.command(Command::Send(peer, frame));
    }

    fn command(&self, command: Command) {
        if let Some(commands) = &*self.commands.lock() {
            drop(commands.send(command));
        }
    }

    /// Closes all links and waits for their thread.
    pub fn close(&self) {
        drop(self.commands.lock().take());
        if let Some(thread) = self.thread.lock().take() {
            drop(thread.join());
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.close();
    }
}

async fn run(mut queue: UnboundedReceiver<Command>, shared: Shared) {
    let mut links: Map<Name, Link> = Map::default();
    while let Some(command) = queue.recv().await {
        match command {
            Command::Peers(peers) => {
                links.retain(|name, link| {
                    peers
                        .iter()
                        .any(|(peer, address)| peer == name && *address == link.address())
                });
                for (name, address) in peers {
                    links
                        .entry(name.clone())
                        .or_insert_with(|| Link::open(name, address, shared.clone()));
                }
            }
            Command::Send(peer, frame) => {
                if let Some(link) = links.get(&peer) {
                    link.send(frame);
                }
            }
        }
    }
}
