//! The sockets on which other processes reach the daemon.

use {
    crate::error::DaemonError,
    mio::{
        Interest, Poll, Token,
        net::{TcpListener, UdpSocket},
    },
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    },
};

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Requests of callers.
    Callers,
    /// Queries of callers for the addresses of daemons.
    Directory,
    /// Metrics, state dump and explanations for operators.
    Operators,
    /// Fetches by other daemons.
    Peers,
    /// Readiness checks by the platform.
    Readiness,
}

/// The token of the UDP socket.
pub(crate) const UDP_TOKEN: Token = Token(0);
/// The token of the first listener; the others follow.
const FIRST_LISTENER_TOKEN: usize = 1;
/// The token of the connection with key 0 in `Daemon::conns`; the others follow. All lower tokens
/// are for the UDP socket and the listeners.
pub(crate) const FIRST_CONN_TOKEN: usize = 16;

/// The daemon's listeners and its UDP socket.
#[derive(Debug)]
pub(crate) struct Listeners {
    /// The listeners, in the order of their tokens; `None` once closed.
    listeners: Vec<(ListenerKind, Option<TcpListener>)>,
    /// Heartbeats from and to other daemons.
    pub(crate) udp_socket: UdpSocket,
}

impl Listeners {
    /// Listens on `addresses`, and opens the UDP socket on the address and port `peers`.
    ///
    /// # Errors
    /// Fails if a socket can't be bound or registered.
    pub(crate) fn open(
        poll: &Poll,
        addresses: &[(ListenerKind, SocketAddrV4)],
        peers: (Ipv4Addr, u16),
    ) -> Result<Self, DaemonError> {
        let mut listeners = Vec::new();
        for (at, (kind, address)) in addresses.iter().enumerate() {
            let listen = || -> io::Result<TcpListener> {
                let mut listener = TcpListener::bind(SocketAddr::V4(*address))?;
                let token = Token(FIRST_LISTENER_TOKEN + at);
                poll.registry()
                    .register(&mut listener, token, Interest::READABLE)?;
                Ok(listener)
            };
            let listener = listen().map_err(|source| DaemonError::Listen {
                address: address.to_string(),
                source,
            })?;
            listeners.push((*kind, Some(listener)));
        }
        let address = SocketAddrV4::new(peers.0, peers.1);
        let open = || -> io::Result<UdpSocket> {
            let mut udp_socket = UdpSocket::bind(SocketAddr::V4(address))?;
            poll.registry()
                .register(&mut udp_socket, UDP_TOKEN, Interest::READABLE)?;
            Ok(udp_socket)
        };
        let udp_socket = open().map_err(|source| DaemonError::Listen {
            address: address.to_string(),
            source,
        })?;
        Ok(Self {
            listeners,
            udp_socket,
        })
    }

    /// The listener with this token and its kind; `None` if there is none or it is closed.
    pub(crate) fn get(&self, token: Token) -> Option<(ListenerKind, &TcpListener)> {
        let at = token.0.checked_sub(FIRST_LISTENER_TOKEN)?;
        let (kind, listener) = self.listeners.get(at)?;
        Some((*kind, listener.as_ref()?))
    }

    /// The token of the first listener of a kind; `None` if there is none or it is closed.
    pub(crate) fn token(&self, kind: ListenerKind) -> Option<Token> {
        let mut listeners = self.listeners.iter();
        let at = listeners.position(|(other, listener)| *other == kind && listener.is_some())?;
        Some(Token(FIRST_LISTENER_TOKEN + at))
    }

    /// Closes all listeners of a kind.
    pub(crate) fn close(&mut self, kind: ListenerKind) {
        for (other, listener) in &mut self.listeners {
            if *other == kind {
                *listener = None;
            }
        }
    }
}
